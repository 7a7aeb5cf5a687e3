use {
    crate::{at, replica},
    poplargap_core::forward::{
        PlaceFilter, PromptSource, ReplicaEntry, ReplicaRegistry, ReplicaState, ReplicaTracker,
        SendOutcome, SourceBasis, SourceRequest, choose_source,
    },
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

const KEY: u64 = 7;

fn source(
    tracker: &ReplicaTracker,
    replicas: &[Arc<ReplicaEntry>],
    draining: &[Arc<ReplicaEntry>],
    chosen: &ReplicaEntry,
) -> Option<PromptSource> {
    let mut registry = ReplicaRegistry::default();
    for replica in replicas {
        registry.put(replica.as_ref().clone());
    }
    for replica in draining {
        registry.put(ReplicaEntry {
            state: ReplicaState::Draining,
            ..replica.as_ref().clone()
        });
    }
    let view = registry.view();
    let request = SourceRequest {
        chosen,
        key: KEY,
        now: at(10),
        places: PlaceFilter::default(),
        view: &view,
    };
    choose_source(tracker, &request)
}

/// Returns the replicas in the rendezvous order of the prompt.
fn in_order(count: usize) -> Vec<Arc<ReplicaEntry>> {
    let mut all: Vec<_> = (0..count)
        .map(|number| Arc::new(replica(number, "ne1")))
        .collect();
    all.sort_by_key(|replica| std::cmp::Reverse(xxh3_64_with_seed(replica.id.as_bytes(), KEY)));
    all
}

fn moved_to(replica: &ReplicaEntry, data_centre: &str) -> Arc<ReplicaEntry> {
    Arc::new(ReplicaEntry {
        data_centre: data_centre.into(),
        ..replica.clone()
    })
}

#[test]
fn spilled_prompt_is_fetched_from_the_replica_that_has_it() {
    let all = in_order(6);
    let mut tracker = ReplicaTracker::default();
    tracker.record_cached(KEY, &all[3], at(1));
    let found = source(&tracker, &all, &[], &all[1]).expect("a source");
    assert_eq!(found.replica.id, all[3].id);
    assert_eq!(found.basis, SourceBasis::Cache);
}

#[test]
fn source_in_the_data_centre_of_the_chosen_replica_is_preferred() {
    let mut all = in_order(6);
    all[2] = moved_to(&all[2], "ne2");
    all[5] = moved_to(&all[5], "ne2");
    let mut tracker = ReplicaTracker::default();
    tracker.record_cached(KEY, &all[5], at(1));
    tracker.record_cached(KEY, &all[0], at(2));
    let found = source(&tracker, &all, &[], &all[2]).expect("a source");
    assert_eq!(found.replica.id, all[5].id);
}

#[test]
fn unknown_prompt_is_fetched_from_the_first_other_replica_in_order() {
    let all = in_order(6);
    let tracker = ReplicaTracker::default();
    for (chosen, expected) in [(0, 1), (1, 0), (4, 0)] {
        let found = source(&tracker, &all, &[], &all[chosen]).expect("a source");
        assert_eq!(found.replica.id, all[expected].id);
        assert_eq!(found.basis, SourceBasis::Order);
    }
}

#[test]
fn ejected_failing_or_unreachable_replica_is_no_source() {
    let mut all = in_order(6);
    all[1] = moved_to(&all[1], "ne2");
    all[2] = moved_to(&all[2], "ne2");
    let mut tracker = ReplicaTracker::default();
    for replica in &all {
        tracker.begin(replica, at(0));
        tracker.record_cached(KEY, replica, at(1));
    }
    tracker.record_failure(&all[0], SendOutcome::NotSent, at(2));
    tracker.record_failure(&all[1], SendOutcome::Unreachable, at(2));
    tracker.record_failure(&all[2], SendOutcome::Unreachable, at(2));
    tracker.record_failure(&all[3], SendOutcome::Broken, at(2));
    let found = source(&tracker, &all, &[], &all[4]).expect("a source");
    assert_eq!(found.replica.id, all[5].id);
    let only_one_left = source(&tracker, &all[..5], &[], &all[4]);
    assert!(only_one_left.is_none());
}

#[test]
fn cut_centre_is_no_source_for_any_of_its_replicas() {
    let all: Vec<_> = in_order(6)
        .iter()
        .enumerate()
        .map(|(number, replica)| moved_to(replica, if number < 4 { "ne2" } else { "ne1" }))
        .collect();
    let mut tracker = ReplicaTracker::default();
    for replica in &all {
        tracker.begin(replica, at(0));
    }
    tracker.record_cached(KEY, &all[3], at(1));
    tracker.record_failure(&all[0], SendOutcome::Unreachable, at(2));
    tracker.record_failure(&all[1], SendOutcome::Unreachable, at(2));
    let found = source(&tracker, &all, &[], &all[5]).expect("a source");
    assert_eq!(found.replica.id, all[4].id);
    // Later the data centre is tried again by requests, but not by fetches until it has replied.
    assert!(!tracker.is_unavailable(&all[3], at(5_000)));
    assert!(tracker.is_doubtful(&all[3]));
    tracker.record_success(&all[2]);
    assert!(!tracker.is_doubtful(&all[3]));
}

#[test]
fn draining_replica_is_a_source_until_it_is_gone() {
    let all = in_order(6);
    let (draining, ready) = all.split_first().expect("there are replicas");
    let mut tracker = ReplicaTracker::default();
    tracker.record_cached(KEY, draining, at(1));
    let leaving = std::slice::from_ref(draining);
    let found = source(&tracker, ready, leaving, &ready[0]).expect("a source");
    assert_eq!(found.replica.id, draining.id);
    let found = source(&tracker, ready, &[], &ready[0]).expect("a source");
    assert_eq!(found.replica.id, ready[1].id);
}

#[test]
fn restarted_replica_is_not_known_to_have_the_prompt() {
    let mut all = in_order(6);
    let mut tracker = ReplicaTracker::default();
    tracker.record_cached(KEY, &all[4], at(1));
    all[4] = Arc::new(ReplicaEntry {
        started_ms: all[4].started_ms + 1,
        ..all[4].as_ref().clone()
    });
    let found = source(&tracker, &all, &[], &all[0]).expect("a source");
    assert_eq!(found.replica.id, all[1].id);
    assert_eq!(found.basis, SourceBasis::Order);
}

#[test]
fn single_replica_has_no_source() {
    let all = in_order(1);
    let tracker = ReplicaTracker::default();
    assert!(source(&tracker, &all, &[], &all[0]).is_none());
}
