use {
    crate::{at, routes::route},
    poplargap_core::forward::{EventlessError, RepeatRule, RouteEntry, StallStep, StreamWatch},
    std::time::Duration,
};

fn stream_route(repeat: RepeatRule) -> RouteEntry {
    RouteEntry {
        gap_target: Duration::from_millis(400),
        latency_target: Duration::from_millis(800),
        repeat,
        ..route("stream", "/stream/", false)
    }
}

#[test]
fn silent_stream_resumes_before_its_caller_leaves() {
    let mut watch = StreamWatch::new(&stream_route(RepeatRule::Resumable), at(0));
    let wait = |ms| StallStep::Wait(Duration::from_millis(ms));
    assert_eq!(watch.step(at(300), || true), wait(1_300));
    watch.record_event(at(300));
    assert_eq!(watch.step(at(1_800), || true), wait(100));
    assert_eq!(watch.step(at(1_900), || true), StallStep::Resume);
}

/// An overloaded replica that prefills long prompts pauses all its streams.
#[test]
fn pause_of_an_overloaded_replica_moves_no_streams() {
    let watch = StreamWatch::new(&stream_route(RepeatRule::Resumable), at(0));
    assert!(matches!(watch.step(at(1_000), || true), StallStep::Wait(_)));
}

/// A stream that may not move at the moment stays with its replica, which may send on.
#[test]
fn silent_stream_without_a_retry_left_waits_until_its_caller_has_gone() {
    let watch = StreamWatch::new(&stream_route(RepeatRule::Resumable), at(0));
    let wait = |ms| StallStep::Wait(Duration::from_millis(ms));
    assert_eq!(watch.step(at(1_700), || false), wait(200));
    assert_eq!(watch.step(at(3_950), || false), wait(50));
    assert_eq!(watch.step(at(4_000), || false), StallStep::GiveUp);
}

#[test]
fn stream_that_runs_at_most_once_is_never_resumed() {
    let watch = StreamWatch::new(&stream_route(RepeatRule::Once), at(0));
    assert_eq!(
        watch.step(at(1_000), || true),
        StallStep::Wait(Duration::from_secs(3))
    );
    assert_eq!(watch.step(at(4_000), || true), StallStep::GiveUp);
}

#[test]
fn bytes_without_an_event_are_bounded() {
    let mut watch = StreamWatch::new(&stream_route(RepeatRule::Once), at(0));
    assert_eq!(watch.record_bytes(60 * 1024), Ok(()));
    watch.record_event(at(1));
    assert_eq!(watch.record_bytes(60 * 1024), Ok(()));
    assert_eq!(watch.record_bytes(5 * 1024), Err(EventlessError::TooLong));
}
