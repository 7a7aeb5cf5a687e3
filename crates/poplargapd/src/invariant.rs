//! Invariants that are checked while the daemon runs.

use {
    prometheus::{IntCounterVec, Opts, Registry},
    slog::Logger,
    strum::IntoStaticStr,
};

/// A property of the daemon that must always hold.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// Admission never raises an upstream's load above its bound.
    BoundedLoad,
    /// A draining or leaving upstream gets no new requests.
    NoWorkAfterDrain,
    /// A call that may not be repeated is sent at most once.
    AtMostOnce,
    /// An answer that ends without an error is complete.
    WholeAnswer,
    /// The revision of the catalogue in force never decreases.
    RevisionMonotonic,
}

/// Counts and logs broken invariants, and panics if the settings require it.
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
    /// Returns an error when `registry` already has a counter of this name.
    pub fn new(registry: &Registry, log: Logger, panic: bool) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "poplargap_invariants_broken_total",
            "Invariants found broken, by name",
        );
        let broken = IntCounterVec::new(opts, &["invariant"])?;
        registry.register(Box::new(broken.clone()))?;
        Ok(Self { broken, log, panic })
    }

    /// Counts and logs `invariant` as broken unless `holds`; `detail` describes the violation.
    ///
    /// # Panics
    ///
    /// Panics when it doesn't hold and the settings require a panic.
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
