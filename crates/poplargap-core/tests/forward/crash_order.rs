//! The order of answers and crashes: which processes answered a part, and which crashed on it.

use {
    crate::{
        crash_evidence::{
            ANSWERED, AT_MS, FIRST, GUILTY, OWN, SECOND, blocked, call, guilty_evidence, now,
        },
        identity, revision,
    },
    poplargap_core::forward::{CrashEvidence, CrashId, CrashReport, EvidenceChange, SoundNote},
};

/// Returns the report of a crash of the process that started at `started_ms`.
fn crash_of(number: u64, started_ms: u64, at_ms: u64, parts: &[u64]) -> EvidenceChange {
    let crash = CrashId {
        replica: format!("replica-{number}").into(),
        started_ms,
    };
    let calls = vec![call(&format!("r{number}"), parts, "w")];
    let report = CrashReport::new(crash, at_ms, calls);
    EvidenceChange::Report(
        format!("crash-reports/{number}"),
        Some((revision(number), report)),
    )
}

// Replicas answered a part until a release; those after it crashed on it and it was never blocked.
#[test]
fn part_that_turns_deadly_after_a_release_is_blocked() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, GUILTY, 5]), 10, now());
    evidence.apply(
        vec![EvidenceChange::Note(GUILTY, Some((revision(1), ANSWERED)))],
        now(),
    );
    evidence.record_answer(&identity(&[FIRST, 6]), 105, now());
    for number in 0..5 {
        assert!(blocked(&evidence).is_empty());
        let at_ms = AT_MS + number * 1_000;
        let report = crash_of(number, 100 + number, at_ms, &[FIRST, GUILTY, OWN + number]);
        evidence.apply(vec![report], now());
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn answers_of_replicas_before_a_release_do_not_clear_later_crashes() {
    let mut evidence = CrashEvidence::default();
    for number in 0..5 {
        evidence.record_answer(&identity(&[GUILTY, 5]), 10, now());
        let at_ms = AT_MS + number * 1_000;
        evidence.apply(
            vec![crash_of(number, 100, at_ms, &[GUILTY, OWN + number])],
            now(),
        );
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn new_replicas_that_crash_together_block_no_answered_part() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 10, now());
    let reports =
        (0..12).map(|number| crash_of(number, 100, AT_MS + number * 20, &[FIRST, OWN + number]));
    evidence.apply(reports.collect(), now());
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn answer_of_a_new_replica_is_noted_for_the_other_daemons() {
    let mut evidence = CrashEvidence::default();
    let old = EvidenceChange::Note(FIRST, Some((revision(7), ANSWERED)));
    evidence.apply(vec![old], now());
    evidence.record_answer(&identity(&[FIRST, 5]), 200, now());
    let reports = (0..3).map(|number| crash_of(number, 100, AT_MS, &[FIRST, OWN + number]));
    evidence.apply(reports.collect(), now());
    let missing = evidence.missing_notes(now());
    assert_eq!(missing.len(), 1);
    assert_eq!(
        (missing[0].part, missing[0].replaces),
        (FIRST, Some(revision(7)))
    );
    assert_eq!(missing[0].note, SoundNote::Answered { started_ms: 100 });
    let noted = EvidenceChange::Note(FIRST, Some((revision(8), missing[0].note)));
    evidence.apply(vec![noted], now());
    assert!(evidence.missing_notes(now()).is_empty());
}

#[test]
fn note_that_comes_after_the_crashes_unblocks_a_part() {
    let mut evidence = CrashEvidence::default();
    evidence.apply(guilty_evidence(), now());
    let notes =
        [FIRST, SECOND].map(|part| EvidenceChange::Note(part, Some((revision(1), ANSWERED))));
    evidence.apply(notes.into(), now());
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn notes_have_the_texts_that_operators_and_daemons_write() {
    let texts = [
        (
            SoundNote::Answered { started_ms: 7 },
            r#"{"answered":{"started-ms":7}}"#,
        ),
        (SoundNote::Lifted, r#""lifted""#),
    ];
    for (note, text) in texts {
        assert_eq!(serde_json::to_string(&note).expect("a text"), text);
        assert_eq!(
            serde_json::from_str::<SoundNote>(text).expect("valid"),
            note
        );
    }
}

// Replicas crashed together, and no sound stream on them was resumed at another one.
#[test]
fn replicas_that_crash_together_cost_sound_requests_their_retry() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&identity(&[FIRST, 5]), 10, now());
    let reports =
        (0..6).map(|number| crash_of(number, 100, AT_MS + number * 20, &[FIRST, OWN + number]));
    evidence.apply(reports.collect(), now());
    assert!(evidence.may_retry(&identity(&[FIRST, 6]), 1, now()));
}
