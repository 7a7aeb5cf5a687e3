use {
    crate::{at, replica},
    poplargap_core::forward::{RegistryChange, ReplicaEntry, ReplicaRegistry, ReplicaState},
};

fn registry(count: usize) -> ReplicaRegistry {
    let mut registry = ReplicaRegistry::default();
    for number in 0..count {
        assert_eq!(
            registry.put(replica(number, "ne1")),
            Some(RegistryChange::Joined)
        );
    }
    registry
}

fn usable(registry: &ReplicaRegistry) -> usize {
    registry.view().replicas("model").len()
}

#[test]
fn unchanged_registration_reports_no_change() {
    let mut registry = registry(1);
    assert_eq!(registry.put(replica(0, "ne1")), None);
}

#[test]
fn draining_replica_gets_no_more_requests() {
    let mut registry = registry(2);
    let mut leaving = replica(0, "ne1");
    leaving.state = ReplicaState::Draining;
    assert_eq!(registry.put(leaving), Some(RegistryChange::Leaving));
    assert_eq!(usable(&registry), 1);
}

/// Every registration lapses if the replicas can't reach the store either.
#[test]
fn all_registrations_that_lapsed_in_an_outage_have_time_to_return() {
    let mut registry = registry(3);
    registry.record_store_failure();
    registry.record_store_read(at(10_000));
    for number in 0..3 {
        let change = registry.remove(&format!("replica-{number}"));
        assert_eq!(change, Some(RegistryChange::Lapsed));
    }
    registry.finish_catch_up();
    assert_eq!(usable(&registry), 3);
    let back = registry.put(replica(0, "ne1"));
    assert_eq!(back, Some(RegistryChange::Joined));
    assert!(registry.expire(at(12_000)).is_empty());
    assert_eq!(registry.expire(at(12_300)).len(), 2);
    assert_eq!(usable(&registry), 1);
}

/// Only this daemon was cut off from the store, and a replica deregistered during the outage.
#[test]
fn few_registrations_that_lapsed_in_an_outage_are_not_used() {
    let mut registry = registry(3);
    registry.record_store_failure();
    registry.record_store_read(at(10_000));
    assert_eq!(registry.remove("replica-0"), Some(RegistryChange::Lapsed));
    registry.finish_catch_up();
    assert_eq!(usable(&registry), 2);
}

// An entry that lapsed and came back unchanged stayed out of the view until another entry changed.
#[test]
fn registration_that_lapsed_and_returns_unchanged_stays_out_of_the_view() {
    let mut registry = registry(3);
    registry.record_store_failure();
    registry.record_store_read(at(10_000));
    registry.remove("replica-0");
    registry.finish_catch_up();
    assert_eq!(usable(&registry), 2);
    let back = registry.put(replica(0, "ne1"));
    assert_eq!(back, Some(RegistryChange::Joined));
    assert_eq!(usable(&registry), 3);
}

/// A replica that deregistered half a second after the end of an outage was used for two more
/// seconds, since its registration counted as lapsed.
#[test]
fn registration_that_is_removed_after_an_outage_is_gone_at_once() {
    let mut registry = registry(2);
    registry.record_store_failure();
    registry.record_store_read(at(10_000));
    registry.finish_catch_up();
    assert_eq!(registry.remove("replica-0"), Some(RegistryChange::Gone));
    assert_eq!(usable(&registry), 1);
}

#[test]
fn listing_replaces_what_was_known() {
    let mut registry = registry(2);
    let changes = registry.replace(vec![replica(1, "ne1"), replica(2, "ne1")]);
    assert_eq!(changes.len(), 2);
    let view = registry.view();
    let ids: Vec<&str> = view
        .replicas("model")
        .iter()
        .map(|entry| entry.id.as_ref())
        .collect();
    assert_eq!(ids, ["replica-1", "replica-2"]);
}

/// A second outage began within the grace period of the first. The reader was woken by the end of
/// the period again and again, and never read the store.
#[test]
fn grace_period_does_not_run_during_another_outage() {
    let mut registry = registry(2);
    registry.record_store_failure();
    registry.record_store_read(at(10_000));
    registry.remove("replica-0");
    registry.finish_catch_up();
    assert!(registry.grace_end().is_some());
    registry.record_store_failure();
    assert_eq!(registry.grace_end(), None);
    assert!(registry.expire(at(20_000)).is_empty());
    registry.record_store_read(at(30_000));
    assert_eq!(registry.grace_end(), Some(at(32_200)));
    registry.finish_catch_up();
    assert_eq!(registry.expire(at(32_300)).len(), 1);
}

fn reported(number: usize, started_ms: u64, sequence: u64) -> ReplicaEntry {
    ReplicaEntry {
        sequence,
        started_ms,
        ..replica(number, "ne1")
    }
}

// The store's copy named an earlier start and an earlier report of replicas that were known.
#[test]
fn registration_in_a_copy_replaces_a_later_one() {
    let mut registry = ReplicaRegistry::default();
    let mut draining = reported(0, 5, 9);
    draining.state = ReplicaState::Draining;
    registry.put(draining);
    registry.put(reported(1, 7, 2));
    registry.record_store_read(at(1_000));
    let copy = vec![reported(0, 5, 8), reported(1, 6, 40)];
    assert_eq!(registry.replace_in_new_era(copy, at(1_000)), []);
    assert_eq!(usable(&registry), 1);
    let view = registry.view();
    assert_eq!(
        view.replica("replica-1").map(|entry| entry.started_ms),
        Some(7)
    );
    // What is written in the new era counts, whatever its numbers are.
    assert_eq!(
        registry.put(reported(0, 5, 1)),
        Some(RegistryChange::Joined)
    );
}

// A copy had replicas that had left, and they got requests again.
#[test]
fn departed_replica_is_taken_up_from_a_copy() {
    let mut registry = registry(3);
    registry.record_store_read(at(1_000));
    assert_eq!(registry.remove("replica-0"), Some(RegistryChange::Gone));
    assert_eq!(registry.remove("replica-1"), Some(RegistryChange::Gone));
    for at_ms in [2_000, 9_000] {
        registry.record_store_read(at(at_ms));
        let copy = vec![reported(0, 1, 1), reported(1, 1, 2), reported(2, 1, 1)];
        registry.replace_in_new_era(copy, at(at_ms));
        assert_eq!(
            usable(&registry),
            2,
            "only a later report shows that one is back"
        );
    }
    registry.record_store_read(at(200_000));
    registry.replace_in_new_era(vec![reported(0, 1, 1)], at(200_000));
    assert!(
        registry.view().replica("replica-0").is_some(),
        "it was long ago"
    );
}

// Replicas that the copy lacked were gone at once.
#[test]
fn replica_that_a_copy_lacks_is_gone_at_once() {
    let mut registry = registry(3);
    registry.record_store_read(at(1_000));
    let changes = registry.replace_in_new_era(vec![reported(2, 1, 1)], at(1_000));
    assert_eq!(changes.len(), 2);
    assert_eq!((usable(&registry), registry.lapsed_count()), (3, 2));
    assert_eq!(registry.grace_end(), Some(at(3_200)));
    registry.put(reported(0, 1, 2));
    assert!(registry.expire(at(3_000)).is_empty());
    assert_eq!(registry.remove("replica-2"), Some(RegistryChange::Gone));
    assert_eq!(registry.expire(at(3_200)).len(), 1);
    assert_eq!(usable(&registry), 1);
}

// The store forgot its history right after it came back, and what the copy lacked was gone at once.
#[test]
fn replica_that_a_copy_lacks_is_gone_with_a_compaction_right_after() {
    let mut registry = registry(3);
    registry.record_store_read(at(1_000));
    registry.replace_in_new_era(vec![reported(2, 1, 1)], at(1_000));
    registry.record_store_read(at(1_500));
    assert_eq!(registry.replace(vec![reported(2, 1, 1)]), []);
    assert_eq!((usable(&registry), registry.lapsed_count()), (3, 2));
    assert_eq!(registry.expire(at(3_200)).len(), 2);
    registry.record_store_read(at(4_000));
    assert_eq!(registry.replace(Vec::new()).len(), 1);
    assert_eq!(usable(&registry), 0);
}
