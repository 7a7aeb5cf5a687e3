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
    /// A daemon is paused for longer than its peers wait for it.
    DaemonPause,
    /// A desk runs calls and closes the connection without answering.
    DeskAnswerLoss,
    /// A desk stops sending on its open connections without closing them.
    DeskSilence,
    /// Two operators edit the same entry at once.
    EditRace,
    /// An engine stops, losing all its work, and starts again later.
    EngineDeath,
    /// An engine refuses all work.
    EngineRefusal,
    /// An engine stops sending on its open connections without closing them.
    EngineSilence,
    /// A daemon is asked to close and started again after its exit.
    GracefulRestart,
    /// Links to daemons' listeners for peers are cut.
    PeerLinkCut,
    /// Links to daemons' listeners for peers delay and lose data.
    PeerLinkDelay,
    /// The daemons of a data centre are closed and started again in turn.
    RollingRestart,
    /// The store executes some calls without answering them.
    StoreAnswerLoss,
    /// One daemon is cut off from the store.
    StoreLinkCut,
    /// The daemons' links to the store delay and lose data.
    StoreLinkDelay,
    /// The store refuses all calls.
    StoreOutage,
    /// The store stops sending on its open connections without closing them.
    StoreSilence,
    /// The store answers after a delay.
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
    /// Returns whether the store or a link to it is faulty.
    #[must_use]
    pub fn affects_store(self) -> bool {
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

    /// Returns whether the process of one daemon does not run until the fault's end.
    #[must_use]
    pub fn stops_daemon(self) -> bool {
        matches!(self, Self::DaemonKill | Self::DaemonPause)
    }

    /// Returns whether some daemon may receive edits too late.
    #[must_use]
    pub fn delays_edits(self) -> bool {
        matches!(
            self,
            Self::PeerLinkCut | Self::StoreAnswerLoss | Self::StoreLinkCut | Self::StoreOutage
        )
    }

    /// Returns whether repeatable requests must be served during the fault.
    #[must_use]
    pub fn requires_repeatable_service(self) -> bool {
        !matches!(self, Self::DaemonPause | Self::WorkspaceSurge)
    }

    /// Returns whether the gaps of streams must stay within their bound during the fault.
    #[must_use]
    pub fn requires_stream_continuity(self) -> bool {
        self.requires_repeatable_service() && !matches!(self, Self::EngineSilence | Self::StreamCut)
    }
}
