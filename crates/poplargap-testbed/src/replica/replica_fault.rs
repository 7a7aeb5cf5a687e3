use {super::EndlessBytes, std::time::Duration};

/// Fault that a replica applies to every request; the default is none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplicaFault {
    /// Sends this number of events and closes the connection in the middle of the next one.
    BreakStream(u64),
    /// Runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// Ends the whole replica when it has written this number of events of an answer to a request
    /// whose prompt has this part, not as its last one; it starts again a little later. Other
    /// requests are answered.
    CrashOnPart {
        /// Events of the answer before the crash; without any, its head isn't written either.
        events: u64,
        /// Hash of the part.
        part: u64,
    },
    /// Ends the whole replica when it begins to answer a request with this text at the end of its
    /// prompt or in its body; it starts again a little later. Other requests are answered.
    CrashOnText(&'static str),
    /// Sends this number of bytes of the answer's head and closes the connection.
    CutHead(usize),
    /// Answers a request when its head has arrived, without a length, writes a part of the body and
    /// resets the connection after this time, while the request's body is still being written.
    EarlyReset(Duration),
    /// Sends the head of a stream without a length and closes the connection.
    EmptyStream,
    /// Sends bytes without end until the connection is closed.
    Endless(EndlessBytes),
    /// Sends the answer twice.
    ExtraAnswer,
    /// Runs the request and answers with status 500.
    Fail,
    /// Runs the request and answers with this signed status line.
    FailAs(&'static str),
    /// Rejects the request with status 503 without running it.
    Full,
    /// Rejects the request as `Full` does, with this `Retry-After`.
    FullFor(&'static str),
    /// Answers without a fault.
    #[default]
    None,
    /// Answers a stream's request with a signed text of status 200 that is no stream.
    PlainText,
    /// Refuses the first request of each connection without running it. It runs the others, but
    /// writes the refusal once more before their answers.
    RepeatRefusal {
        /// Whether the repeated refusal carries the id of the refused request.
        has_id: bool,
    },
    /// Runs the request and answers after this delay, unless the reader closes the connection before.
    Slow(Duration),
    /// Sends a stream three events at a time, where the id of one of them is another text.
    SpoiltId {
        /// Number of the event.
        event: u64,
        /// Text in place of its id.
        id: &'static str,
    },
    /// Writes the head and the first half of the answer, and nothing more until the reader closes the
    /// connection.
    Stall,
    /// Writes this number of events of a stream, and nothing more until the reader closes the
    /// connection.
    StallStream(u64),
    /// Omits the last three bytes of the answer and closes the connection.
    Truncate,
    /// Sends an answer without a length, whose body ends where the connection is closed.
    Unframed,
    /// Sends a stream without a length, which ends in the middle of the event after this number.
    UnframedCutStream(u64),
    /// Sends a whole stream without a length.
    UnframedStream,
    /// Answers with status 200 but without a signature.
    Unsigned,
}
