//! Report of a soak.

use {
    super::{FaultKind, FaultTally, Violation, run_collector::RunCollector},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
    strum::IntoEnumIterator,
};

/// Results of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Figures of each kind of fault that occurred.
    pub faults: BTreeMap<FaultKind, FaultTally>,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Seed of the run.
    pub seed: u64,
    /// All violations of the run.
    pub violations: Vec<Violation>,
}

impl SoakReport {
    pub(super) fn new(seed: u64, run: RunCollector) -> Self {
        let RunCollector {
            calls,
            violations,
            windows,
        } = run;
        let faults = FaultKind::iter().map(|kind| {
            let of_kind: Vec<_> = windows
                .iter()
                .filter(|window| window.kind == kind)
                .collect();
            (kind, FaultTally::count(&of_kind, &calls))
        });
        let mut outcomes = BTreeMap::new();
        for call in &calls {
            *outcomes.entry(call.outcome()).or_default() += 1;
        }
        Self {
            faults: faults.filter(|(_, tally)| tally.count > 0).collect(),
            outcomes,
            seed,
            violations,
        }
    }
}

impl Display for SoakReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}\n", self.seed)?;
        writeln!(f, "| fault | times | calls | longest gap | not served |")?;
        writeln!(f, "|---|---:|---:|---:|---|")?;
        for (kind, tally) in &self.faults {
            let FaultTally {
                count,
                gap,
                affected,
                unserved,
            } = tally;
            let gap = gap.as_secs_f64();
            let unserved = list(unserved);
            writeln!(
                f,
                "| {kind} | {count} | {affected} | {gap:.2} s | {unserved} |"
            )?;
        }
        writeln!(f, "\ncalls by outcome: {}", list(&self.outcomes))?;
        writeln!(f, "violations: {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "{violation}")?;
        }
        Ok(())
    }
}

fn list(counts: &BTreeMap<String, usize>) -> String {
    let parts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name}: {count}"))
        .collect();
    parts.join("; ")
}
