//! Violations that a soak reports.

use {
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    strum::{Display as NameDisplay, EnumIter},
};

/// Kind of a violation.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, NameDisplay, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum ViolationKind {
    /// An answer ended early although its daemon was neither killed nor paused.
    BrokenAnswer,
    /// A daemon did not apply an accepted edit in time.
    EditLate,
    /// A daemon's counter of broken invariants rose.
    InvariantBroken,
    /// A daemon that was asked to close exited with an error or not in time.
    GracefulExit,
    /// A request that was reported as not run is in an upstream's ledger.
    NotRunRan,
    /// A part of an answer belongs to another call.
    ForeignAnswer,
    /// A daemon's process exited unexpectedly.
    ProcessEnded,
    /// Of two concurrent edits of one entry, not exactly one was accepted and the other refused
    /// with a conflict.
    RaceUnsettled,
    /// A stream had too long a gap between two tokens.
    RecoverySlow,
    /// A request that may be repeated was not served.
    RepeatableLost,
    /// Two requests with the same idempotency key got different bookings.
    ReplayDiffers,
    /// A daemon's catalogue revision decreased.
    RevisionWentBack,
    /// A call that may not be repeated ran twice.
    RanTwice,
    /// A step of the soak itself failed.
    SoakFailed,
    /// A daemon that should be running accepted no connection.
    Unreachable,
    /// An upstream got work after it was drained.
    WorkAfterDrain,
}

/// One violation with its time.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Time since the start of the soak.
    pub at: Duration,
    /// Description of what was observed.
    pub detail: String,
    /// Requirement that was violated.
    pub kind: ViolationKind,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { at, detail, kind } = self;
        write!(f, "{:8.2} s  {kind}: {detail}", at.as_secs_f64())
    }
}
