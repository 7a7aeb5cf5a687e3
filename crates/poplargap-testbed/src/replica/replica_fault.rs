use std::time::Duration;

/// What a replica does wrong with every request; the default is nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplicaFault {
    /// It ends its stream after so many events, in the middle of the next one.
    BreakStream(u64),
    /// It runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// It sends its answer twice.
    ExtraAnswer,
    /// It answers that it failed.
    Fail,
    /// It refuses the request without running it.
    Full,
    /// Nothing is wrong.
    #[default]
    None,
    /// It runs the request and answers after this time.
    Slow(Duration),
    /// It sends half of its answer and closes the connection.
    Truncate,
    /// It sends an answer without a length that the connection's end should end.
    Unframed,
    /// It answers with success but without its signature.
    Unsigned,
}
