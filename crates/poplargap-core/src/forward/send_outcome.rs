use strum::IntoStaticStr;

/// How an attempt to send a request to a replica failed.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SendOutcome {
    /// Nothing was sent: the connection was refused.
    NotSent,
    /// The replica replied that it didn't run the request.
    NotExecuted,
    /// Nothing was sent: opening the connection timed out.
    Unreachable,
    /// Nothing was sent: the replica was leaving, its data centre was evacuated, or the caller's time had
    /// passed by then.
    Withdrawn,
    /// Another replica now has the address; it didn't run the request.
    WrongReplica,
    /// The replica replied with an error.
    Failed,
    /// The connection broke, or the reply isn't a valid one to this request.
    Broken,
    /// No reply arrived within the time for one attempt.
    Silent,
}

impl SendOutcome {
    /// Returns whether the request provably didn't run at the replica.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::NotExecuted
                | Self::NotSent
                | Self::Unreachable
                | Self::Withdrawn
                | Self::WrongReplica
        )
    }

    /// Returns whether the request, or a part of it, was sent to the replica.
    #[must_use]
    pub fn was_delivered(self) -> bool {
        !matches!(self, Self::NotSent | Self::Unreachable | Self::Withdrawn)
    }
}
