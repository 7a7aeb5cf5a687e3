//! Memory of the evidence of crashes, in a process of its own.

use {
    poplargap_core::{
        forward::{CrashEvidence, CrashId, CrashReport, EvidenceChange, UnansweredCall},
        instant::MonotonicInstant,
        store_position::{StoreEra, StoreRevision},
    },
    std::{fs, time::Duration},
};

/// Reports of 36 crashes from six daemons.
const REPORTS: u64 = 216;

/// Requests of a report, and the parts of their prompts, each in one prompt only.
const CALLS: u64 = 16;
const PARTS: u64 = 128;

/// Most memory of the evidence, in kilobytes.
const MEMORY_MAX_KB: u64 = 16 * 1024;

/// Returns the most memory that the process has had so far, in kilobytes.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse().ok())
        .expect("a number")
}

fn report(number: u64) -> EvidenceChange {
    let call = |call: u64| UnansweredCall {
        call,
        own: Some(u64::MAX - number * CALLS - call),
        parts: (0..PARTS)
            .map(|part| (number * CALLS + call) * PARTS + part)
            .collect(),
        workspace: None,
    };
    let crash = CrashId {
        replica: format!("i-{}", number / 6).into(),
        started_ms: 1,
    };
    let report = CrashReport::new(crash, number, (0..CALLS).map(call).collect());
    let revision = StoreRevision::new(StoreEra::default(), number);
    EvidenceChange::Report(format!("crash-reports/{number}"), Some((revision, report)))
}

// 120 reports of long prompts took 260 MB, and daemons were killed again right after their start.
#[test]
fn reports_of_long_prompts_outgrow_the_memory_of_a_daemon() {
    let now = MonotonicInstant::from_start(Duration::from_mins(1));
    let mut evidence = CrashEvidence::default();
    let before = peak_kb();
    evidence.apply((0..REPORTS - 6).map(report).collect(), now);
    for number in REPORTS - 6..REPORTS {
        evidence.apply(vec![report(number)], now);
    }
    let grown = peak_kb() - before;
    assert_eq!(evidence.report_count(), 216);
    assert!(grown <= MEMORY_MAX_KB, "{grown} kB");
}
