use {
    crate::{at, replicas},
    poplargap_core::forward::{
        CachedReplicas, ChoiceRequest, ColdLimit, LoadReport, PlaceFilter, PlacedBy, ReplicaEntry,
        ReplicaTracker, choose_replica,
    },
    std::{sync::Arc, time::Duration},
};

const KEY: u64 = 7;

fn request(ms: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        body_bytes: 800,
        cold: ColdLimit::default(),
        daemons: 6,
        data_centre: "ne1",
        drain: Duration::from_secs(2),
        excluded: &[],
        key: Some(KEY),
        leave: None,
        now: at(ms),
        places: PlaceFilter::default(),
        prefers_local: false,
        shared_tokens: 10_512,
        request_hash: 1,
    }
}

fn record_load(tracker: &mut ReplicaTracker, replica: &ReplicaEntry, running: u32, ms: u64) {
    let report = LoadReport {
        running,
        waiting: 0,
        ..LoadReport::default()
    };
    tracker.record_report(replica, report, at(ms));
}

/// A new prompt went to the second replica of its order, since the first was full. When the first
/// had capacity again, the prompt moved there and was prefilled a second time. At low load, half of
/// the repeated prefills were of prompts that only their second replica had cached.
#[test]
fn prompt_stays_where_it_is_cached_when_its_first_replica_has_capacity_again() {
    let all = replicas(18);
    let mut tracker = ReplicaTracker::default();
    for replica in &all {
        record_load(&mut tracker, replica, 3, 0);
    }
    let first = choose_replica(&all, &tracker, &request(1)).expect("there are replicas");
    assert_eq!((first.rank, first.placed_by), (Some(0), PlacedBy::Order));
    record_load(&mut tracker, &first.replica, 40, 1);
    let second = choose_replica(&all, &tracker, &request(2)).expect("there are replicas");
    assert_eq!(second.rank, Some(1));
    tracker.record_cached(KEY, &second.replica, at(2));
    record_load(&mut tracker, &first.replica, 3, 3);
    let third = choose_replica(&all, &tracker, &request(4)).expect("there are replicas");
    assert_eq!(third.replica.id, second.replica.id);
    assert_eq!(third.placed_by, PlacedBy::Cache);
}

#[test]
fn restarted_or_long_unused_replica_has_no_cached_prompt() {
    let replica = Arc::clone(&replicas(1)[0]);
    let mut cached = CachedReplicas::default();
    cached.record(KEY, &replica, at(0));
    assert!(cached.is_cached(KEY, &replica, at(1)));
    assert!(!cached.is_cached(KEY + 1, &replica, at(1)));
    let restarted = ReplicaEntry {
        started_ms: replica.started_ms + 1,
        ..(*replica).clone()
    };
    assert!(!cached.is_cached(KEY, &restarted, at(1)));
    assert!(!cached.is_cached(KEY, &replica, at(120_000)));
}

#[test]
fn cached_replica_is_announced_at_intervals_and_never_from_a_peer_report() {
    let replica = Arc::clone(&replicas(1)[0]);
    let mut cached = CachedReplicas::default();
    cached.record(KEY, &replica, at(0));
    cached.record(KEY, &replica, at(10));
    assert_eq!(cached.take_unsent().len(), 1);
    cached.record(KEY, &replica, at(20));
    assert!(cached.take_unsent().is_empty());
    cached.record(KEY, &replica, at(20_000));
    assert_eq!(cached.take_unsent().len(), 1);
    cached.record_peer(KEY + 1, &replica, at(20_000));
    cached.record(KEY + 1, &replica, at(20_010));
    assert!(cached.take_unsent().is_empty());
}

#[test]
fn cached_replicas_are_bounded_and_expire() {
    let all = replicas(40);
    let mut cached = CachedReplicas::default();
    for replica in &all {
        cached.record(KEY, replica, at(0));
    }
    let tracked = all
        .iter()
        .filter(|replica| cached.is_cached(KEY, replica, at(1)));
    assert_eq!(tracked.count(), 8);
    for key in 0..100_000 {
        cached.record(key, &all[0], at(1));
    }
    assert!(cached.take_unsent().len() <= 48);
    assert!(!cached.is_cached(99_999, &all[0], at(2)));
    cached.expire(at(120_000));
    cached.record(99_999, &all[0], at(120_000));
    assert!(cached.is_cached(99_999, &all[0], at(120_000)));
}
