//! Finds the prompt parts that were unanswered at several crashes.

use {
    super::{CrashId, CrashReport, UnansweredCall},
    crate::collections::{HashMap, HashSet},
};

/// Most pairs of a part and a crash that are sorted at a time on average, which bounds the memory.
const PAIRS_MAX: usize = 65_536;

/// Odd multiplier that spreads parts over the groups, whatever their hashes are.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the parts and requests that were unanswered at `crashes_min` crashes or more.
///
/// Most parts are at one crash alone; reports of long prompts have hundreds of thousands of them, and a
/// table of each of them would take more memory than a daemon has.
#[must_use]
pub fn repeated_parts(reports: &[&CrashReport], crashes_min: usize) -> HashSet<u64> {
    let crashes = numbered_crashes(reports);
    let lens = reports.iter().flat_map(|report| report.calls());
    let pair_count: usize = lens.map(|call| call.hashes().count()).sum();
    let group_count = pair_count.div_ceil(PAIRS_MAX).max(1) as u64;
    let mut repeated = HashSet::default();
    let mut pairs: Vec<(u64, u32)> = Vec::new();
    for group in 0..group_count {
        pairs.clear();
        for report in reports {
            let crash = crashes[report.crash()];
            let parts = report.calls().iter().flat_map(UnansweredCall::hashes);
            let own = parts.filter(|part| part.wrapping_mul(SPREAD) % group_count == group);
            pairs.extend(own.map(|part| (part, crash)));
        }
        pairs.sort_unstable();
        pairs.dedup();
        let parts = pairs.chunk_by(|(part, _), (other, _)| part == other);
        let parts = parts.filter(|pairs| pairs.len() >= crashes_min);
        repeated.extend(parts.filter_map(|pairs| Some(pairs.first()?.0)));
    }
    repeated
}

fn numbered_crashes<'a>(reports: &[&'a CrashReport]) -> HashMap<&'a CrashId, u32> {
    let mut crashes = HashMap::default();
    for report in reports {
        let next = u32::try_from(crashes.len()).unwrap_or(u32::MAX);
        crashes.entry(report.crash()).or_insert(next);
    }
    crashes
}
