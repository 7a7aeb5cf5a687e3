//! Invariants that are asserted while the daemon runs.

use {
    prometheus::{IntCounterVec, Opts, Registry},
    slog::Logger,
    strum::IntoStaticStr,
};

/// What must always hold.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// An upstream's load never passes its bound at admission.
    BoundedLoad,
    /// A draining or leaving upstream gets no new work.
    NoWorkAfterDrain,
    /// A call that may not be repeated is sent at most once.
    AtMostOnce,
    /// An answer that ends without an error is whole.
    WholeAnswer,
    /// The catalogue in force never goes back.
    RevisionMonotonic,
}

/// Counts broken invariants, logs them, and panics where settings ask for it.
#[derive(Clone, Debug)]
pub struct InvariantMonitor {
    broken: IntCounterVec,
    log: Logger,
    panic: bool,
}

impl InvariantMonitor {
    /// Creates a monitor whose counter is part of `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry has such a counter already.
    pub fn new(registry: &Registry, log: Logger, panic: bool) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "poplargap_invariants_broken_total",
            "Invariants found broken, by name",
        );
        let broken = IntCounterVec::new(opts, &["invariant"])?;
        registry.register(Box::new(broken.clone()))?;
        Ok(Self { broken, log, panic })
    }

    /// Asserts that `invariant` holds.
    ///
    /// # Panics
    ///
    /// Panics when it doesn't hold and settings ask for a panic.
    pub fn check(&self, invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
        if holds {
            return;
        }
        let name: &str = invariant.into();
        self.broken.with_label_values(&[name]).inc();
        let detail = detail();
        slog::crit!(self.log, "invariant broken"; "invariant" => name, "detail" => &detail);
        assert!(!self.panic, "invariant {name} broken: {detail}");
    }
}
