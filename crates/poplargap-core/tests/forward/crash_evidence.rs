use {
    crate::{CONTENT, identity, revision},
    poplargap_core::{
        forward::{
            BlockScope, CrashEvidence, CrashId, CrashReport, EvidenceChange, EvidenceListing,
            RequestContent, RequestIdentity, SoundNote, UnansweredCall,
        },
        instant::MonotonicInstant,
    },
    proptest::{collection::vec, prelude::*, sample::subsequence},
    std::{sync::Arc, time::Duration},
};

pub(super) const GUILTY: u64 = 0xdead;
pub(super) const FIRST: u64 = 1;
pub(super) const SECOND: u64 = 2;
pub(super) const OWN: u64 = 99;

/// Time of the crashes, in Unix milliseconds.
pub(super) const AT_MS: u64 = 1_000_000;

/// The note of an answer by a replica that started when those of the crashes did.
pub(super) const ANSWERED: SoundNote = SoundNote::Answered { started_ms: 1 };

/// Returns the record of a request whose last part is replaced by one that no other request has.
pub(super) fn call(id: &str, parts: &[u64], workspace: &str) -> UnansweredCall {
    let own = id
        .bytes()
        .fold(7_000, |own: u64, byte| own * 256 + u64::from(byte));
    let (_, shared) = parts.split_last().expect("there are parts");
    same_call(id, &[shared, &[own]].concat(), workspace)
}

fn same_call(id: &str, parts: &[u64], workspace: &str) -> UnansweredCall {
    UnansweredCall::new(id, &identity(parts), Some(workspace))
}

fn crash(replica: &str) -> CrashId {
    CrashId {
        replica: replica.into(),
        started_ms: 1,
    }
}

/// Returns the report of a daemon on a crash, as the store has it.
fn stored(daemon: u32, replica: &str, calls: Vec<UnansweredCall>) -> EvidenceChange {
    let key = format!("crash-reports/{replica}/{daemon}");
    EvidenceChange::Report(
        key,
        Some((revision(1), CrashReport::new(crash(replica), AT_MS, calls))),
    )
}

pub(super) fn now() -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_mins(1))
}

/// Returns the evidence of a request that crashed two replicas in turn and of one that crashed a
/// third; all parts but the guilty one are in sound requests, too.
pub(super) fn guilty_evidence() -> Vec<EvidenceChange> {
    let parts = [FIRST, SECOND, GUILTY, OWN];
    vec![
        stored(1, "a", vec![call("r1", &parts, "w")]),
        stored(1, "b", vec![call("r1", &parts, "w")]),
        stored(2, "c", vec![call("r2", &parts, "w")]),
    ]
}

pub(super) fn blocked(evidence: &CrashEvidence) -> Vec<u64> {
    evidence.blocked().parts().keys().copied().collect()
}

#[test]
fn part_that_crashed_replicas_in_turn_is_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    assert!(blocked(&evidence).contains(&GUILTY));
    let found = evidence
        .blocked()
        .find(&identity(&[7, GUILTY, 8]), Some("w"));
    assert_eq!(found, Some(GUILTY));
    let last = evidence.blocked().find(&identity(&[7, GUILTY]), Some("w"));
    assert_eq!(last, None, "a request's own part is never blocked");
}

#[test]
fn parts_of_sound_requests_beside_the_guilty_one_are_not_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 1, now());
    evidence.apply(guilty_evidence(), now());
    evidence.apply(
        vec![EvidenceChange::Note(SECOND, Some((revision(1), ANSWERED)))],
        now(),
    );
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn crash_counts_once_however_many_daemons_report_it() {
    let mut evidence = CrashEvidence::default();
    let reports = (0..50).map(|daemon| {
        let calls = vec![call(&format!("r{daemon}"), &[GUILTY, OWN], "w")];
        stored(daemon, "a", calls)
    });
    evidence.apply(reports.collect(), now());
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn replicas_that_crash_at_once_block_no_rare_part() {
    let mut evidence = CrashEvidence::default();
    let reports = (0..4).map(|number| {
        let calls = vec![call(&format!("r{number}"), &[FIRST, OWN], "w")];
        stored(number, &format!("replica-{number}"), calls)
    });
    evidence.apply(reports.collect(), now());
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn replicas_that_crash_at_once_block_no_part_of_answered_prompts() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 1, now());
    let reports = (0..5).map(|number| {
        let calls = vec![call(&format!("r{number}"), &[FIRST, OWN], "w")];
        stored(number, &format!("replica-{number}"), calls)
    });
    evidence.apply(reports.collect(), now());
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn part_that_crashes_replicas_without_retries_is_blocked_at_the_fifth() {
    let mut evidence = CrashEvidence::default();
    for number in 0..5 {
        assert!(blocked(&evidence).is_empty());
        let calls = vec![call(&format!("r{number}"), &[GUILTY, OWN], "w")];
        evidence.apply(vec![stored(1, &format!("replica-{number}"), calls)], now());
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
}

// Twelve replicas crashed at once, and the part that all requests of a class share was blocked.
#[test]
fn part_of_answered_prompts_is_never_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 1, now());
    let reports = (0..12).map(|number| {
        let calls = vec![call(&format!("r{number}"), &[FIRST, OWN], "w")];
        stored(number, &format!("replica-{number}"), calls)
    });
    evidence.apply(reports.collect(), now());
    assert!(blocked(&evidence).is_empty());
    let mut noted = CrashEvidence::default();
    let note = EvidenceChange::Note(FIRST, Some((revision(1), ANSWERED)));
    noted.apply(guilty_evidence(), now());
    noted.apply(vec![note], now());
    assert!(!blocked(&noted).contains(&FIRST));
}

#[test]
fn caller_cannot_have_the_prompts_of_another_workspace_refused() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    let scope = &evidence.blocked().parts()[&FIRST].scope;
    assert_eq!(*scope, BlockScope::Workspace(Some("w".into())));
    let other = evidence.blocked().find(&identity(&[FIRST, OWN]), Some("v"));
    assert_eq!(other, None);
}

#[test]
fn part_that_crashes_replicas_for_two_workspaces_is_blocked_for_all() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    let calls = vec![call("r3", &[GUILTY, OWN], "v")];
    evidence.apply(vec![stored(3, "d", calls)], now());
    assert_eq!(evidence.blocked().parts()[&GUILTY].scope, BlockScope::All);
    let third = evidence
        .blocked()
        .find(&identity(&[GUILTY, OWN]), Some("u"));
    assert_eq!(third, Some(GUILTY));
}

#[test]
fn operator_lifts_a_block() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    evidence.apply(
        vec![EvidenceChange::Note(
            GUILTY,
            Some((revision(1), SoundNote::Lifted)),
        )],
        now(),
    );
    assert!(!blocked(&evidence).contains(&GUILTY));
}

#[test]
fn block_ends_with_its_reports() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    evidence.replace(EvidenceListing::default(), now());
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn own_report_counts_before_and_after_the_store_has_it() {
    let mut evidence = CrashEvidence::default();
    let calls = vec![call("r1", &[GUILTY, OWN], "w")];
    let key = "crash-reports/a/1".to_owned();
    let report = CrashReport::new(crash("a"), AT_MS, calls.clone());
    assert!(evidence.record_direct(key.clone(), report.clone(), now()));
    assert!(
        !evidence.record_direct(key, report, now()),
        "it is on record"
    );
    evidence.apply(vec![stored(1, "a", calls.clone())], now());
    evidence.apply(vec![stored(1, "b", calls)], now());
    assert!(blocked(&evidence).is_empty());
    let calls = vec![call("r2", &[GUILTY, OWN], "w")];
    evidence.apply(vec![stored(1, "c", calls)], now());
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn reports_without_end_take_bounded_memory_and_the_newest_are_kept() {
    let mut evidence = CrashEvidence::default();
    let reports = (0..20_000).map(|number: u64| {
        let part = 1_000 + number;
        let calls = vec![call(&format!("r{number}"), &[part, OWN], "w")];
        let report = CrashReport::new(crash(&format!("{number}")), AT_MS, calls);
        EvidenceChange::Report(format!("{number}"), Some((revision(number), report)))
    });
    for batch in reports.collect::<Vec<_>>().chunks(500) {
        evidence.apply(batch.to_vec(), now());
    }
    assert!(evidence.report_count() <= 1_024);
}

#[test]
fn request_that_crashed_two_replicas_is_not_sent_again() {
    let mut evidence = CrashEvidence::default();
    let rare = identity(&[GUILTY, OWN]);
    assert!(evidence.may_retry(&rare, 0, now()));
    assert!(evidence.may_retry(&rare, 1, now()));
    assert!(!evidence.may_retry(&rare, 2, now()));
    evidence.record_answer(&rare, 1, now());
    assert!(
        evidence.may_retry(&rare, 2, now()),
        "an answered prompt is retried"
    );
}

#[test]
fn request_with_a_part_of_two_crashes_is_not_sent_again() {
    let mut evidence = CrashEvidence::default();
    let calls = vec![call("r1", &[GUILTY, OWN], "w")];
    evidence.apply(
        vec![stored(1, "a", calls.clone()), stored(1, "b", calls)],
        now(),
    );
    assert!(!evidence.may_retry(&identity(&[GUILTY, OWN]), 1, now()));
    assert!(evidence.may_retry(&identity(&[GUILTY, OWN]), 0, now()));
}

// One request came back under new ids and crashed replicas, three and more.
#[test]
fn request_that_returns_after_three_crashes_is_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 1, now());
    let parts = [FIRST, OWN];
    for (id, replica) in [("r1", "a"), ("r1", "b"), ("r2", "c")] {
        assert!(blocked(&evidence).is_empty());
        let calls = vec![
            same_call(id, &parts, "w"),
            call(&format!("s{replica}"), &parts, "w"),
        ];
        evidence.apply(vec![stored(1, replica, calls)], now());
    }
    let again = identity(&parts);
    assert_eq!(blocked(&evidence), [again.own()]);
    assert!(evidence.blocked().find(&again, Some("w")).is_some());
    assert!(evidence.blocked().find(&again, Some("v")).is_none());
    let sound = identity(&[FIRST, 6]);
    assert!(evidence.blocked().find(&sound, Some("w")).is_none());
}

#[test]
fn request_without_a_prompt_is_recognised_by_its_content() {
    let order = RequestIdentity::new(&[], CONTENT);
    assert_eq!(order, RequestIdentity::new(&[], CONTENT));
    let body = b"three valves";
    let other = RequestIdentity::new(&[], RequestContent { body, ..CONTENT });
    assert_ne!(order.own(), other.own());
    let mut evidence = CrashEvidence::default();
    for (id, replica) in [("r1", "a"), ("r2", "b"), ("r3", "c")] {
        let calls = vec![UnansweredCall::new(id, &order, Some("w"))];
        evidence.apply(vec![stored(1, replica, calls)], now());
    }
    assert_eq!(blocked(&evidence), [order.own()]);
    assert!(evidence.blocked().find(&other, Some("w")).is_none());
}

// A sound session sat on replicas that ended under another request.
#[test]
fn session_beside_three_crashes_of_another_request_is_not_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 1, now());
    for (number, replica) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let mut calls = vec![same_call(&format!("r{number}"), &[FIRST, OWN], "w")];
        if number < 3 {
            calls.push(same_call(&format!("s{number}"), &[FIRST, 50], "w"));
        }
        evidence.apply(vec![stored(1, replica, calls)], now());
    }
    assert_eq!(blocked(&evidence), [identity(&[FIRST, OWN]).own()]);
}

// A part after the eighth of a prompt crashed replicas and was in no report.
#[test]
fn part_far_back_in_a_long_prompt_is_blocked() {
    let shared: Vec<u64> = (1..=1_200).collect();
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[shared.as_slice(), &[5_000]].concat()), 1, now());
    let parts = [shared.as_slice(), &[GUILTY, OWN]].concat();
    for number in 0..5 {
        let calls = vec![call(&format!("r{number}"), &parts, "w")];
        evidence.apply(vec![stored(1, &format!("replica-{number}"), calls)], now());
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn report_of_long_prompts_is_bounded() {
    let parts: Vec<u64> = (1..=900).collect();
    let calls = (0..16).map(|number| call(&format!("r{number}"), &parts, "w"));
    let report = CrashReport::new(crash("a"), AT_MS, calls.collect());
    assert_eq!(report.calls().len(), 2);
    let text = serde_json::to_string(&report).expect("a text");
    let read = serde_json::from_str::<CrashReport>(&text);
    assert_eq!(read.expect("valid"), report);
    let longest: Vec<u64> = (1..=5_000).collect();
    let report = CrashReport::new(crash("a"), AT_MS, vec![call("r1", &longest, "w")]);
    assert_eq!(report.calls().len(), 1);
}

#[test]
fn odd_reports_are_refused() {
    let texts = [
        "{}",
        r#"{"crash":{"replica":"a","started-ms":1},"calls":[]}"#,
        r#"{"crash":{"replica":"a","started-ms":-1},"calls":[{"call":1,"parts":[1],"workspace":null}]}"#,
        r#"{"crash":{"replica":"a","started-ms":1},"calls":[{"call":1,"parts":[],"workspace":null}]}"#,
        r#"{"crash":{"replica":"a","started-ms":1},"calls":[{"call":1e400,"parts":[1],"workspace":"w"}]}"#,
    ];
    for text in texts {
        assert!(serde_json::from_str::<CrashReport>(text).is_err(), "{text}");
    }
    let report = CrashReport::new(crash("a"), AT_MS, vec![call("r1", &[GUILTY, OWN], "w")]);
    let text = serde_json::to_string(&report).expect("a text");
    assert_eq!(
        serde_json::from_str::<CrashReport>(&text).expect("valid"),
        report
    );
}

proptest! {
    // Whatever crashes, a part that some daemon noted as answered stays free while a guilty part
    // is in all of its requests, and the order of reports doesn't matter.
    #[test]
    fn guilty_part_explains_the_crashes_of_the_others(
        others in vec(subsequence(vec![1_u64, 2, 3, 4, 5], 1..4), 5..30),
        seed in any::<u64>(),
    ) {
        let reports: Vec<EvidenceChange> = others.iter().enumerate().map(|(number, others)| {
            let mut parts = others.clone();
            parts.extend([GUILTY, OWN]);
            let id = format!("r{number}");
            let daemon = u32::try_from(number % 7).expect("a small number");
            stored(daemon, &format!("replica-{number}"), vec![call(&id, &parts, "w")])
        }).collect();
        let notes = (1..=5).map(|part| EvidenceChange::Note(part, Some((revision(1), ANSWERED))));
        let mut all: Vec<EvidenceChange> = reports.into_iter().chain(notes).collect();
        let mut evidence = CrashEvidence::default();
        evidence.apply(all.clone(), now());
        prop_assert_eq!(blocked(&evidence), vec![GUILTY]);
        let len = all.len();
        all.rotate_left(usize::try_from(seed % 64).expect("a small number") % len);
        let mut rotated = CrashEvidence::default();
        for change in all {
            rotated.apply(vec![change], now());
        }
        prop_assert_eq!(rotated.blocked(), evidence.blocked());
    }
}

// What a copy of the store lacked was lost with the next listing.
#[test]
fn evidence_that_a_copy_lacks_is_lost_with_a_compaction_right_after() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    let note = EvidenceChange::Note(FIRST, Some((revision(1), ANSWERED)));
    evidence.apply(vec![note], now());
    let reports = evidence.report_count();
    let blocked_before = Arc::clone(evidence.blocked());
    evidence.replace_in_new_era(EvidenceListing::default(), now());
    let lost = evidence.lost();
    assert_eq!(lost.len(), reports + 1);
    evidence.replace(EvidenceListing::default(), now());
    assert_eq!(evidence.lost().len(), reports + 1);
    assert_eq!(
        evidence.blocked(),
        &blocked_before,
        "the part stays blocked"
    );
    for lost in &lost {
        evidence.record_resent(&lost.item, now());
    }
    assert_eq!(evidence.lost(), []);
    assert_eq!(evidence.report_count(), reports);
    evidence.expire(now() + Duration::from_mins(11));
    assert_eq!(evidence.report_count(), 0, "nobody wrote them again");
}

// A listing that took seconds replaced what the daemon had read meanwhile.
#[test]
fn listing_undoes_what_was_read_while_it_ran() {
    for is_new_era in [false, true] {
        let mut evidence = CrashEvidence::default();
        let report = |daemon| stored(daemon, "a", vec![call("r1", &[GUILTY, OWN], "w")]);
        let [kept, removed, added, gone] = [1, 2, 3, 4].map(report);
        let EvidenceChange::Report(removed_key, _) = removed.clone() else {
            panic!("it is a report");
        };
        let removal = EvidenceChange::Report(removed_key, None);
        evidence.apply(vec![kept.clone(), removed.clone(), gone], now());
        // The listing began here; the daemon read two changes before its end.
        evidence.apply(vec![removal.clone(), added.clone()], now());
        let listing = EvidenceListing {
            changed: [removal.key(), added.key()].into_iter().collect(),
            values: vec![kept, removed],
        };
        if is_new_era {
            evidence.replace_in_new_era(listing, now());
            assert_eq!(evidence.lost().len(), 1, "the copy lacks the last one");
            assert_eq!(evidence.report_count(), 3);
        } else {
            evidence.replace(listing, now());
            assert_eq!(evidence.report_count(), 2);
        }
    }
}
