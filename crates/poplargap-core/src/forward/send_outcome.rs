use strum::IntoStaticStr;

/// What is known after a request was sent to a replica without success.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SendOutcome {
    /// No byte of the request left: the connection was refused.
    NotSent,
    /// The replica says that it didn't run the request.
    NotExecuted,
    /// No byte of the request left: the connection didn't open in time.
    Unreachable,
    /// Another replica has the address and didn't run the request.
    WrongReplica,
    /// The replica answered that it failed.
    Failed,
    /// The connection ended, or the answer can't be the replica's own.
    Broken,
    /// No answer came within the time for one attempt.
    Silent,
}

impl SendOutcome {
    /// Returns whether the request provably didn't run there.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::NotExecuted | Self::NotSent | Self::Unreachable | Self::WrongReplica
        )
    }

    /// Returns whether the replica was handed the request.
    #[must_use]
    pub fn was_delivered(self) -> bool {
        !matches!(self, Self::NotSent | Self::Unreachable)
    }
}
