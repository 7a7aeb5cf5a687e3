//! Tests of the store's client under faults of the store and of the link.

use {
    fixture::{Fixture, KEY, WAIT, create, replace},
    poplargap_platform::StoreClient,
    poplargap_store::{
        KeyValueStore, SettleLimit, StoreEra, StoreError, StoreRevision, StoredValue, SwapOutcome,
        SwapWrite, WriteEvidence, write_then_settle,
    },
    poplargap_testbed::{
        relay::{LinkFaults, LinkRelay},
        store::StoreFaults,
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

mod fixture;

const TIMEOUT: Duration = Duration::from_millis(250);

async fn settle(store: &StoreClient, write: &SwapWrite) -> SwapOutcome {
    let limit = SettleLimit {
        deadline: Instant::now() + WAIT,
        pause: Duration::from_millis(10),
        rounds_max: 8,
    };
    let own = write.value.as_deref();
    let evidence = |current: &StoredValue| {
        if Some(current.value.as_str()) == own {
            WriteEvidence::Applied
        } else {
            WriteEvidence::NotApplied
        }
    };
    write_then_settle(store, write, evidence, limit).await
}

/// Returns a revision of the stand-in's first era.
fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(1), number)
}

#[tokio::test]
async fn lost_answer_is_resolved_by_write_id() {
    let fixture = Fixture::start().await;
    let faults = StoreFaults {
        drop_next_answers: 2,
        ..StoreFaults::default()
    };
    fixture.set_faults(faults).await;
    let lost = fixture.store.swap(&create("first")).await;
    assert!(matches!(lost, SwapOutcome::Unknown(_)), "{lost:?}");
    assert_eq!(fixture.counts().await.swap, 1);
    let first = settle(&fixture.store, &create("first")).await;
    assert_eq!(first, SwapOutcome::Applied(revision(1)));
    fixture.set_faults(faults).await;
    let second = settle(&fixture.store, &replace(revision(1), "second")).await;
    assert_eq!(second, SwapOutcome::Applied(revision(2)));
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn lost_answer_to_lost_race_is_conflict() {
    let fixture = Fixture::start().await;
    fixture.put(KEY, "other").await;
    let faults = StoreFaults {
        drop_next_answers: 1,
        ..StoreFaults::default()
    };
    fixture.set_faults(faults).await;
    let outcome = settle(&fixture.store, &create("own")).await;
    assert_eq!(outcome, SwapOutcome::Conflict(fixture.value().await));
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn delayed_write_is_applied_once() {
    let fixture = Fixture::start_with(TIMEOUT).await;
    let first = fixture.put(KEY, "first").await;
    let delay = StoreFaults {
        delay_ms: 600,
        ..StoreFaults::default()
    };
    fixture.set_faults(delay).await;
    let write = replace(first, "second");
    let lost = fixture.store.swap(&write).await;
    assert!(matches!(lost, SwapOutcome::Unknown(_)), "{lost:?}");
    fixture.set_faults(StoreFaults::default()).await;
    assert_eq!(fixture.value().await.unwrap().value, "first");
    let settled = settle(&fixture.store, &write).await;
    assert_eq!(settled, SwapOutcome::Applied(revision(2)));
    let third = settle(&fixture.store, &replace(revision(2), "third")).await;
    sleep(Duration::from_millis(600)).await;
    assert_eq!(third, SwapOutcome::Applied(revision(3)));
    assert_eq!(fixture.value().await.unwrap().value, "third");
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn silent_connection_is_replaced_after_timeout() {
    let fixture = Fixture::start_with(TIMEOUT).await;
    let first = fixture.put(KEY, "first").await;
    let faults = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    fixture.set_faults(faults).await;
    let started_at = Instant::now();
    let silent = fixture.store.swap(&replace(first, "second")).await;
    assert!(matches!(
        silent,
        SwapOutcome::Unknown(StoreError::NoAnswer(_))
    ));
    assert!(started_at.elapsed() < TIMEOUT * 2);
    assert_eq!(fixture.value().await.unwrap().value, "first");
    assert!(started_at.elapsed() < TIMEOUT * 2);
    assert_eq!(fixture.store.counters().pools_dropped(), 1);
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn refusal_and_closed_port_return_different_errors() {
    let fixture = Fixture::start().await;
    let refuse = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    fixture.set_faults(refuse).await;
    let write = create("value");
    let refused = fixture.store.swap(&write).await;
    assert_eq!(refused, SwapOutcome::Failed(StoreError::Refused(503)));
    let store = fixture.store.clone();
    fixture.stand_in.close().await;
    let closed = store.swap(&write).await;
    assert!(
        matches!(closed, SwapOutcome::Failed(StoreError::NotSent(_))),
        "{closed:?}"
    );
}

#[tokio::test]
async fn cut_link_sends_nothing_and_recovers() {
    let fixture = Fixture::start().await;
    let relay = LinkRelay::start(fixture.stand_in.address()).await.unwrap();
    let store = StoreClient::new(relay.address(), WAIT).unwrap();
    let write = create("value");
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    relay.set_faults(cut).await;
    let unsent = store.swap(&write).await;
    assert!(
        matches!(unsent, SwapOutcome::Failed(StoreError::NotSent(_))),
        "{unsent:?}"
    );
    assert_eq!(fixture.value().await, None);
    relay.set_faults(LinkFaults::default()).await;
    assert_eq!(
        settle(&store, &write).await,
        SwapOutcome::Applied(revision(1))
    );
    relay.close().await;
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn silent_watch_fails_by_its_deadline() {
    let fixture = Fixture::start().await;
    let relay = LinkRelay::start(fixture.stand_in.address()).await.unwrap();
    let store = StoreClient::new(relay.address(), TIMEOUT).unwrap();
    let after = fixture.put(KEY, "first").await;
    let wait = Duration::from_millis(100);
    store.watch(KEY, after, wait).await.unwrap();
    let started_at = Instant::now();
    relay.silence().await;
    let silent = store.watch(KEY, after, wait).await;
    assert!(matches!(silent, Err(StoreError::NoAnswer(_))), "{silent:?}");
    assert!(started_at.elapsed() < wait + TIMEOUT * 2);
    store.watch(KEY, after, wait).await.unwrap();
    relay.close().await;
    fixture.stand_in.close().await;
}
