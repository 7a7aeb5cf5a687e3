use {
    crate::at,
    poplargap_core::forward::{
        AttemptHistory, EvacuationView, LoopLag, ReplicaTracker, SendOutcome,
    },
    std::time::Duration,
};

const CALL_TIME: Duration = Duration::from_millis(2_500);

fn lag_after(delays_ms: &[u64]) -> LoopLag {
    let mut lag = LoopLag::default();
    for (step, delay) in delays_ms.iter().enumerate() {
        lag.record(Duration::from_millis(*delay), at(step as u64 * 100));
    }
    lag
}

/// A daemon with a twelfth of a core kept requests for 2.2 s and then sent them to replicas that had
/// left meanwhile.
#[test]
fn daemon_without_processor_time_takes_nothing_until_it_has_caught_up() {
    let mut lag = lag_after(&[1_400, 1_500, 1_600]);
    assert!(lag.is_too_late(Duration::from_secs(10), 0, at(200)));
    assert!(lag.is_too_late(CALL_TIME, 2, at(300)));
    for ms in (300..=2_200).step_by(100) {
        lag.record(Duration::ZERO, at(ms));
    }
    assert!(!lag.is_too_late(CALL_TIME, 2, at(2_200)));
}

#[test]
fn urgent_requests_are_taken_longer_by_a_daemon_that_falls_behind() {
    let lag = lag_after(&[400, 400]);
    let time = Duration::from_millis(1_200);
    assert!(!lag.is_too_late(time, 0, at(100)));
    assert!(lag.is_too_late(time, 2, at(100)));
    assert!(!lag.is_too_late(Duration::from_secs(8), 2, at(100)));
}

/// A daemon held a request for three seconds, and sent it half a second after its caller had left.
#[test]
fn time_for_which_a_request_waited_unread_is_not_given_away_again() {
    let lag = lag_after(&[400, 400]);
    assert_eq!(
        lag.time_left(CALL_TIME, at(100)),
        Duration::from_millis(2_100)
    );
    assert_eq!(
        lag.time_left(Duration::from_millis(300), at(100)),
        Duration::ZERO
    );
}

/// A daemon that had stood still for two seconds read a request that had waited for as long, before it
/// read that the request's replica had begun to leave.
#[test]
fn request_that_is_read_right_after_a_standstill_is_refused() {
    let lag = lag_after(&[0, 0, 0]);
    assert!(!lag.is_too_late(CALL_TIME, 2, at(300)));
    assert!(lag.is_too_late(CALL_TIME, 0, at(2_300)));
    assert_eq!(
        lag.time_left(CALL_TIME, at(2_300)),
        Duration::from_millis(500)
    );
}

/// A frozen daemon refused its callers for a second after it had woken.
#[test]
fn one_late_timer_is_no_lag() {
    let lag = lag_after(&[0, 4_000, 1, 2]);
    assert!(lag.current(at(300)) < Duration::from_millis(5));
}

/// A replica that is withdrawn between the choice and the send is no failed one, and nothing ran.
#[test]
fn withdrawn_send_counts_against_nobody() {
    let mut history = AttemptHistory::default();
    history.record(SendOutcome::Withdrawn);
    assert_eq!((history.possible_runs, history.deliveries), (0, 0));
    let replica = crate::replica(0, "ne1");
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&replica, at(0));
    for _ in 0..5 {
        tracker.record_failure(&replica, SendOutcome::Withdrawn, at(1));
    }
    assert!(!tracker.is_unavailable(&replica, at(2)));
}

#[test]
fn send_is_withdrawn_only_when_the_whole_load_has_moved() {
    let mut view = EvacuationView::default();
    view.begin("ne1", at(0), Duration::from_secs(5));
    assert!(!view.is_complete("ne1", at(900)));
    assert!(view.is_complete("ne1", at(1_000)));
    assert!(!view.is_complete("ne2", at(1_000)));
}
