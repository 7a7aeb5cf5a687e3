use {
    crate::{at, replica},
    poplargap_core::forward::{RegistryChange, ReplicaRegistry, ReplicaState},
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
    assert_eq!(registry.put(replica(0, "ne1")), None);
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
