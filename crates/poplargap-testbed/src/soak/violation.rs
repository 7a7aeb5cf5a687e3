//! What a soak must not see.

use {
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    strum::{Display as NameDisplay, EnumIter},
};

/// What was broken.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, NameDisplay, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum ViolationKind {
    /// An answer ended too early though its daemon was well.
    BrokenAnswer,
    /// An accepted edit was not in force in time.
    EditLate,
    /// A daemon counted a broken invariant.
    InvariantBroken,
    /// A closing daemon didn't end well.
    GracefulExit,
    /// A request reported as not run stands in a ledger.
    NotRunRan,
    /// A part of an answer belongs to another call.
    ForeignAnswer,
    /// A daemon's process ended by itself.
    ProcessEnded,
    /// Both of two racing edits won, or both lost.
    RaceUnsettled,
    /// A stream waited too long for its next token.
    RecoverySlow,
    /// A request that may be repeated was not served.
    RepeatableLost,
    /// Two sends of one booking got different bookings.
    ReplayDiffers,
    /// The revision in force went back.
    RevisionWentBack,
    /// A call that may not be repeated ran twice.
    RanTwice,
    /// The soak itself could not do something.
    SoakFailed,
    /// A daemon that should run took no connection.
    Unreachable,
    /// An upstream got work after it was drained.
    WorkAfterDrain,
}

/// One violation with its place.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Time since the start.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
    /// What was broken.
    pub kind: ViolationKind,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { at, detail, kind } = self;
        write!(f, "{:8.2} s  {kind}: {detail}", at.as_secs_f64())
    }
}
