//! What happens to an attempt.

use crate::name::RequestId;

/// Something that the transport saw or that a clock said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The head of a successful answer arrived.
    AnswerBegan,
    /// No connection came about, so nothing was sent.
    ConnectFailed,
    /// The connection ended or went silent.
    ConnectionLost,
    /// The call's deadline passed.
    DeadlinePassed,
    /// The answer came to its proper end.
    Finished {
        /// Number of events in the whole answer, when the upstream states it.
        total: Option<u64>,
    },
    /// One event of a streamed answer arrived.
    IndexReceived {
        /// Place of the event in the answer, from 0.
        index: u64,
        /// The request that the event says it answers.
        request: RequestId,
    },
    /// The first byte may have left for the upstream.
    Sent,
    /// The upstream said that it didn't run the call.
    UpstreamRefused,
}
