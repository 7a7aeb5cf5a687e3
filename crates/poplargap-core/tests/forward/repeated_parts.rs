use {
    poplargap_core::{
        collections::{HashMap, HashSet},
        forward::{BlockedParts, CrashId, CrashReport, SoundNote, UnansweredCall, repeated_parts},
    },
    proptest::{collection::vec, option, prelude::*},
};

/// The request, its own hash, and the parts of its prompt.
type DrawnCall = (u64, Option<u64>, Vec<u64>);

fn report((crash, at_ms, calls): (u8, u64, Vec<DrawnCall>)) -> CrashReport {
    let crash = CrashId {
        replica: format!("i-{crash}").into(),
        started_ms: u64::from(crash % 3),
    };
    let calls = calls.into_iter().map(|(call, own, mut parts)| {
        parts.sort_unstable();
        parts.dedup();
        UnansweredCall {
            call,
            own,
            parts: parts.into(),
            workspace: None,
        }
    });
    CrashReport::new(crash, at_ms, calls.collect())
}

fn parts_of(report: &CrashReport) -> HashSet<u64> {
    let calls = report.calls().iter();
    calls.flat_map(UnansweredCall::hashes).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Parts that were at one crash alone, or at two, are never blocked, whatever else is on record.
    #[test]
    fn judging_repeated_parts_alone_blocks_the_same_parts(
        reports in vec((0_u8..8, 0_u64..2_000, vec((0_u64..6, option::of(20_u64..26), vec(0_u64..12, 1..6)), 1..5)), 0..24),
        notes in vec((0_u64..26, 0_u64..4), 0..8),
    ) {
        let reports: Vec<CrashReport> = reports.into_iter().map(report).collect();
        let reports: Vec<&CrashReport> = reports.iter().collect();
        let notes: HashMap<u64, SoundNote> = notes
            .into_iter()
            .map(|(part, started_ms)| (part, SoundNote::Answered { started_ms }))
            .collect();
        let all: HashSet<u64> = reports.iter().flat_map(|report| parts_of(report)).collect();
        let repeated = repeated_parts(&reports, 2);
        for part in &all {
            let with_part = reports.iter().filter(|report| parts_of(report).contains(part));
            let crashes: HashSet<&CrashId> = with_part.map(|report| report.crash()).collect();
            prop_assert_eq!(repeated.contains(part), crashes.len() >= 2);
        }
        let expected = BlockedParts::judge(&reports, &all, &notes);
        prop_assert_eq!(BlockedParts::judge(&reports, &repeated, &notes), expected);
    }
}

// The groups in which the pairs are sorted are those of long reports.
#[test]
fn part_of_two_crashes_is_found_among_hundreds_of_thousands() {
    let long = |number: u64| {
        let call = |call: u64| {
            let first = (number * 16 + call) * 128 + 1;
            let mut parts: Vec<u64> = (first..first + 127).collect();
            parts.insert(0, if call == 0 { 0 } else { u64::MAX - first });
            parts.sort_unstable();
            (call, None, parts)
        };
        report((
            u8::try_from(number).expect("few"),
            number,
            (0..16).map(call).collect(),
        ))
    };
    let reports: Vec<CrashReport> = (0..200).map(long).collect();
    let reports: Vec<&CrashReport> = reports.iter().collect();
    let repeated = repeated_parts(&reports, 200);
    assert_eq!(repeated.into_iter().collect::<Vec<u64>>(), [0]);
}
