//! Tests of the schedule, the fault windows and the call outcomes of a soak.

use {
    poplargap_testbed::{
        caller::CallVerdict,
        soak::{CallWork, FaultKind, FaultSchedule, FaultWindow, SoakCall},
    },
    std::{collections::BTreeSet, time::Duration},
    strum::IntoEnumIterator,
};

const DURATION: Duration = Duration::from_mins(3);

#[test]
fn same_seed_gives_same_schedule() {
    assert_eq!(
        FaultSchedule::draw(7, DURATION),
        FaultSchedule::draw(7, DURATION)
    );
    assert_ne!(
        FaultSchedule::draw(7, DURATION),
        FaultSchedule::draw(8, DURATION)
    );
}

#[test]
fn long_run_has_every_kind_of_fault() {
    let schedule = FaultSchedule::draw(1, Duration::from_mins(10));
    let kinds: BTreeSet<FaultKind> = schedule.0.iter().map(|plan| plan.kind).collect();
    assert_eq!(kinds, FaultKind::iter().collect());
}

#[test]
fn store_outage_lasts_one_minute() {
    let schedule = FaultSchedule::draw(1, DURATION);
    let mut outages = schedule
        .0
        .iter()
        .filter(|plan| plan.kind == FaultKind::StoreOutage);
    assert!(outages.all(|plan| plan.len == Duration::from_mins(1)));
}

#[test]
fn window_overlaps_calls_until_its_effects_end() {
    let window = FaultWindow {
        begin: Duration::from_secs(10),
        daemon: None,
        end: Duration::from_secs(12),
        kind: FaultKind::EngineDeath,
    };
    let overlaps = |begin, end| {
        let recovery = Duration::from_secs(5);
        window.overlaps(
            Duration::from_secs(begin),
            Duration::from_secs(end),
            recovery,
        )
    };
    assert!(overlaps(9, 11));
    assert!(overlaps(16, 18));
    assert!(!overlaps(18, 19));
    assert!(!overlaps(7, 9));
}

#[test]
fn booking_with_answer_to_other_request_counts_as_replayed() {
    let call = |work| SoakCall {
        answer: Some(poplargap_testbed::desk::BookingAnswer {
            booking: 1,
            path: "/bookings/1".to_owned(),
            request_id: Some("s1".to_owned()),
        }),
        began: Duration::ZERO,
        daemon: 0,
        ended: Duration::ZERO,
        gap: None,
        request_id: "s1-1".to_owned(),
        verdict: CallVerdict::Foreign {
            detail: "the answer names request s1".to_owned(),
        },
        work,
    };
    let key = "key-1".to_owned();
    assert_eq!(call(CallWork::Booking { key }).outcome(), "replayed");
    assert_eq!(call(CallWork::Lookup).outcome(), "foreign");
}
