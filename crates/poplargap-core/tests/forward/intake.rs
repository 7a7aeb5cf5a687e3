use {
    crate::{at, replica},
    poplargap_core::forward::{IntakeState, ReplicaEntry, ReplicaIntake, ReplicaTracker},
    std::{sync::Arc, time::Duration},
};

const DRAIN: Duration = Duration::from_secs(2);

#[test]
fn leaving_replica_is_a_last_resort_and_then_closed() {
    let mut intake = ReplicaIntake::default();
    assert_eq!(intake.state(DRAIN, at(0)), IntakeState::Open);
    assert!(intake.record_leaving(at(100)));
    assert!(
        !intake.record_leaving(at(900)),
        "a further answer changes nothing"
    );
    assert_eq!(intake.state(DRAIN, at(1_000)), IntakeState::LastResort);
    assert_eq!(intake.state(DRAIN, at(1_100)), IntakeState::Closed);
    assert_eq!(
        intake.restarted().state(DRAIN, at(1_100)),
        IntakeState::Open
    );
}

#[test]
fn refusal_keeps_the_latest_end_over_a_restart() {
    let mut intake = ReplicaIntake::default();
    intake.record_refusal(Duration::from_secs(3), at(0));
    intake.record_refusal(Duration::from_secs(1), at(500));
    let left = Duration::from_secs(2);
    assert_eq!(intake.state(DRAIN, at(1_000)), IntakeState::Refusing(left));
    let restarted = intake.restarted();
    assert_eq!(
        restarted.state(DRAIN, at(1_000)),
        IntakeState::Refusing(left)
    );
    assert_eq!(intake.state(DRAIN, at(3_000)), IntakeState::Open);
}

#[test]
fn refusal_of_any_length_ends_within_ten_minutes() {
    let mut intake = ReplicaIntake::default();
    let kept = intake.record_refusal(Duration::MAX, at(0));
    assert_eq!(kept, Duration::from_mins(10));
    assert_eq!(intake.state(DRAIN, at(600_000)), IntakeState::Open);
}

// A replica asked for 90 s and got requests after 60 s.
#[test]
fn refusal_of_more_than_a_minute_is_cut_short() {
    let mut intake = ReplicaIntake::default();
    intake.record_refusal(Duration::from_secs(90), at(0));
    let left = Duration::from_secs(1);
    assert_eq!(intake.state(DRAIN, at(89_000)), IntakeState::Refusing(left));
    assert_eq!(intake.state(DRAIN, at(90_000)), IntakeState::Open);
}

// A replica's registration lapsed and came back, and what it had said was forgotten.
#[test]
fn statements_of_a_replica_are_forgotten_with_its_registration() {
    let mut tracker = ReplicaTracker::default();
    let (refusing, leaving) = (replica(0, "a"), replica(1, "a"));
    tracker.record_refusal(&refusing, Duration::from_secs(25), at(0));
    tracker.record_leaving(&leaving, at(0));
    tracker.retain(|_| false, at(10_000));
    assert!(tracker.is_leaving(&leaving));
    let refusing = [Arc::new(refusing)];
    let time = tracker.refusal_time(&refusing, DRAIN, at(10_000));
    assert_eq!(time, Some(Duration::from_secs(15)));
    tracker.retain(|_| false, at(700_000));
    assert!(tracker.load(&refusing[0].id).is_none());
    assert!(tracker.load(&leaving.id).is_none());
}

#[test]
fn refusal_time_is_that_of_the_first_replica_to_take_requests() {
    let replicas = [Arc::new(replica(0, "a")), Arc::new(replica(1, "a"))];
    let mut tracker = ReplicaTracker::default();
    tracker.record_refusal(&replicas[0], Duration::from_secs(5), at(0));
    assert_eq!(tracker.refusal_time(&replicas, DRAIN, at(0)), None);
    tracker.record_refusal(&replicas[1], Duration::from_secs(2), at(0));
    let time = tracker.refusal_time(&replicas, DRAIN, at(500));
    assert_eq!(time, Some(Duration::from_millis(1_500)));
}

#[test]
fn leaving_replica_is_sent_to_the_peers_in_several_rounds() {
    let mut tracker = ReplicaTracker::default();
    let leaving = replica(0, "a");
    assert!(tracker.record_leaving(&leaving, at(0)));
    let rounds = (0..10).filter(|_| !tracker.take_leaving().is_empty());
    assert_eq!(rounds.count(), 4);
    assert!(!tracker.record_leaving(&leaving, at(10)));
    assert!(tracker.take_leaving().is_empty());
    assert!(tracker.is_leaving(&leaving));
    let restarted = ReplicaEntry {
        started_ms: 2,
        ..leaving
    };
    assert!(!tracker.is_leaving(&restarted));
}
