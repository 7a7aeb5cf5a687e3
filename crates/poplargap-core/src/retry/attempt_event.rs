//! Events of an attempt.

use crate::name::RequestId;

/// An event of an attempt, reported by the transport or a timer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The head of a successful answer arrived.
    AnswerBegan,
    /// No connection was established, so nothing was sent.
    ConnectFailed,
    /// The connection ended or timed out before the end of the answer.
    ConnectionLost,
    /// The call's deadline passed.
    DeadlinePassed,
    /// The answer ended properly.
    Finished {
        /// Number of events in the whole answer, if the upstream reports it.
        total: Option<u64>,
    },
    /// One event of a streamed answer arrived.
    IndexReceived {
        /// Index of the event in the answer, from 0.
        index: u64,
        /// The request id in the event.
        request: RequestId,
    },
    /// The first byte of the request may have been sent to the upstream.
    Sent,
    /// The upstream refused the call and reported that it didn't run it.
    UpstreamRefused,
}
