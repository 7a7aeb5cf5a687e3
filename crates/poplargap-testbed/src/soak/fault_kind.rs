//! The kinds of faults.

use strum::{Display, EnumIter};

/// One kind of fault.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// An edit drains an upstream, and a later one brings it back.
    CatalogueDrain,
    /// A daemon is killed, and started again later.
    DaemonKill,
    /// A daemon is paused for longer than its peers wait.
    DaemonPause,
    /// Desks run calls and cut the connection without an answer.
    DeskAnswerLoss,
    /// A desk's open connections go silent.
    DeskSilence,
    /// Two operators edit the same entry at once.
    EditRace,
    /// An engine ends with all its work, and starts again later.
    EngineDeath,
    /// An engine refuses all work.
    EngineRefusal,
    /// An engine's open connections go silent.
    EngineSilence,
    /// A daemon is asked to close, and started again.
    GracefulRestart,
    /// Links to daemons' listeners for peers are cut.
    PeerLinkCut,
    /// Links to daemons' listeners for peers delay and lose.
    PeerLinkDelay,
    /// The daemons of a data centre are closed and started again in turn.
    RollingRestart,
    /// The store takes effect of some calls without answering.
    StoreAnswerLoss,
    /// One daemon is cut off from the store.
    StoreLinkCut,
    /// The daemons' links to the store delay and lose.
    StoreLinkDelay,
    /// The store refuses all calls.
    StoreOutage,
    /// The store's open connections go silent.
    StoreSilence,
    /// The store is slow.
    StoreSlow,
    /// An engine cuts its streams after some tokens.
    StreamCut,
    /// The VM list shows changes late.
    VmLag,
    /// The VM list marks an engine as leaving.
    VmLeaving,
    /// One workspace sends many times its usual load.
    WorkspaceSurge,
}

impl FaultKind {
    /// Returns whether the store or the way to it is at fault.
    #[must_use]
    pub fn is_of_store(self) -> bool {
        matches!(
            self,
            Self::StoreAnswerLoss
                | Self::StoreLinkCut
                | Self::StoreLinkDelay
                | Self::StoreOutage
                | Self::StoreSilence
                | Self::StoreSlow
        )
    }

    /// Returns whether one daemon's process does nothing until the fault's end.
    #[must_use]
    pub fn stops_daemon(self) -> bool {
        matches!(self, Self::DaemonKill | Self::DaemonPause)
    }

    /// Returns whether some daemon can't learn of edits in time.
    #[must_use]
    pub fn hides_edits(self) -> bool {
        matches!(
            self,
            Self::PeerLinkCut | Self::StoreAnswerLoss | Self::StoreLinkCut | Self::StoreOutage
        )
    }

    /// Returns whether repeatable requests must be served while it lasts.
    #[must_use]
    pub fn spares_repeatable(self) -> bool {
        !matches!(self, Self::DaemonPause | Self::WorkspaceSurge)
    }

    /// Returns whether streams must go on within the bound while it lasts.
    #[must_use]
    pub fn spares_streams(self) -> bool {
        self.spares_repeatable() && !matches!(self, Self::EngineSilence | Self::StreamCut)
    }
}
