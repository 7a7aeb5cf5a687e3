//! Tests of the store's client against the stand-in.

use {
    fixture::{Fixture, KEY, WAIT, create, replace},
    poplargap_store::{
        CallKind, CallOutcome, HttpVmList, KeyValueStore, LeaseId, StoreEra, StoreError,
        StoreRevision, SwapOutcome, SwapWrite, VmEntry, VmList, VmRole, VmState,
    },
    poplargap_testbed::store::{CallCounts, StoreFaults, VALUE_BYTES_MAX},
    std::time::Duration,
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

mod fixture;

/// The stand-in's first era.
const ERA: StoreEra = StoreEra::new(1);

#[tokio::test]
async fn race_of_swaps_has_one_winner() {
    let fixture = Fixture::start().await;
    let first = fixture.put(KEY, "first").await;
    let mut racers = JoinSet::new();
    for racer in 0..16 {
        let store = fixture.store.clone();
        racers.spawn(async move { store.swap(&replace(first, &format!("racer {racer}"))).await });
    }
    let outcomes = racers.join_all().await;
    let current = fixture.value().await.unwrap();
    let applied = SwapOutcome::Applied(current.revision);
    let conflict = SwapOutcome::Conflict(Some(current));
    let count = |expected| {
        outcomes
            .iter()
            .filter(|outcome| **outcome == expected)
            .count()
    };
    assert_eq!((count(applied), count(conflict)), (1, 15));
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn value_is_removed_and_limited() {
    let fixture = Fixture::start().await;
    let longest = "a".repeat(VALUE_BYTES_MAX);
    let first = fixture.put(KEY, &longest).await;
    assert_eq!(fixture.value().await.unwrap().value, longest);
    let too_long = fixture
        .store
        .swap(&replace(first, &format!("{longest}a")))
        .await;
    assert_eq!(too_long, SwapOutcome::Failed(StoreError::Refused(413)));
    let remove = SwapWrite {
        value: None,
        ..replace(first, "")
    };
    let removed = fixture.store.swap(&remove).await;
    assert!(matches!(removed, SwapOutcome::Applied(_)), "{removed:?}");
    let again = fixture.store.swap(&remove).await;
    assert_eq!(again, SwapOutcome::Conflict(None));
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn listing_continues_after_full_page() {
    let fixture = Fixture::start().await;
    let value = "a".repeat(VALUE_BYTES_MAX);
    for key in ["a/1", "b/1 &?", "b/2", "b/3", "b/4", "b/5", "c/1"] {
        fixture.put(key, &value).await;
    }
    let mut pages = vec![fixture.store.list("b/", None).await.unwrap()];
    while let Some(next) = pages.last().and_then(|page| page.next.clone()) {
        let page = fixture.store.list("b/", Some(&next)).await.unwrap();
        pages.push(page);
    }
    assert!(pages.len() > 1, "a page is full");
    for page in &pages {
        assert_eq!(page.revision, StoreRevision::new(ERA, 7));
    }
    let values = pages.into_iter().flat_map(|page| page.values);
    let keys: Vec<String> = values.map(|value| value.key).collect();
    assert_eq!(keys, ["b/1 &?", "b/2", "b/3", "b/4", "b/5"]);
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn lease_end_removes_bound_key() {
    let fixture = Fixture::start().await;
    let store = &fixture.store;
    let ttl = Duration::from_millis(800);
    let lease = store.grant_lease(ttl).await.unwrap();
    let second = store.grant_lease(ttl).await.unwrap();
    assert!(second.fence > lease.fence);
    let write = SwapWrite {
        lease: Some(lease.id),
        ..create("held")
    };
    let SwapOutcome::Applied(held) = store.swap(&write).await else {
        panic!("write was not applied");
    };
    sleep(Duration::from_millis(100)).await;
    store.renew_lease(lease.id).await.unwrap();
    let batch = store.watch(KEY, held, WAIT).await.unwrap();
    assert_eq!(batch.changes[0].value, None);
    assert_eq!(fixture.value().await, None);
    assert_eq!(store.renew_lease(lease.id).await, Err(StoreError::NoLease));
    assert_eq!(
        store.swap(&write).await,
        SwapOutcome::Failed(StoreError::NoLease)
    );
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn revoked_lease_removes_bound_key() {
    let fixture = Fixture::start().await;
    let store = &fixture.store;
    let lease = store.grant_lease(WAIT).await.unwrap();
    let write = SwapWrite {
        lease: Some(lease.id),
        ..create("held")
    };
    store.swap(&write).await;
    store.revoke_lease(lease.id).await.unwrap();
    assert_eq!(fixture.value().await, None);
    assert_eq!(
        store.revoke_lease(LeaseId::new(ERA, 99)).await,
        Err(StoreError::NoLease)
    );
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn watch_returns_changes_by_prefix() {
    let fixture = Fixture::start().await;
    let (store, after) = (fixture.store.clone(), fixture.put(KEY, "first").await);
    let watch = tokio::spawn(async move { store.watch("test/", after, WAIT).await });
    while fixture.counts().await.waiting_watches == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fixture.store.counters().waiting_watches(), 1);
    fixture.put("else/key", "no match").await;
    let second = fixture.put("test/second", "match").await;
    let batch = watch.await.unwrap().unwrap();
    assert_eq!((batch.revision, batch.changes.len()), (second, 1));
    assert_eq!(batch.changes[0].key, "test/second");
    assert_eq!(fixture.store.counters().waiting_watches(), 0);
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn watch_ends_empty_after_its_wait() {
    let fixture = Fixture::start().await;
    fixture.put("else/key", "no match").await;
    let wait = Duration::from_millis(50);
    let batch = fixture
        .store
        .watch("test/", StoreRevision::new(ERA, 0), wait)
        .await;
    let batch = batch.unwrap();
    assert_eq!(
        (batch.changes.len(), batch.revision),
        (0, StoreRevision::new(ERA, 1))
    );
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn watch_from_compacted_revision_fails() {
    let fixture = Fixture::start().await;
    let first = fixture.put(KEY, "first").await;
    let second = fixture.put("test/second", "second").await;
    fixture.post("/compact", &()).await;
    let store = &fixture.store;
    let gap = store.watch("test/", first, WAIT).await;
    assert_eq!(gap, Err(StoreError::Compacted(first.number())));
    let page = store.list("test/", None).await.unwrap();
    assert_eq!((page.values.len(), page.revision), (2, second));
    let third = fixture.put("test/third", "third").await;
    let batch = store.watch("test/", page.revision, WAIT).await.unwrap();
    assert_eq!((batch.changes.len(), batch.revision), (1, third));
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn calls_are_counted_on_both_sides() {
    let fixture = Fixture::start().await;
    let first = fixture.put(KEY, "first").await;
    fixture.store.swap(&create("second")).await;
    fixture.value().await;
    let (store, short) = (&fixture.store, Duration::from_millis(30));
    store.watch(KEY, first, short).await.unwrap();
    let abandoned = tokio::time::timeout(short, store.watch(KEY, first, WAIT)).await;
    abandoned.unwrap_err();
    let counters = store.counters();
    let calls = [
        (CallKind::Get, CallOutcome::Answered),
        (CallKind::Swap, CallOutcome::Answered),
        (CallKind::Swap, CallOutcome::Conflict),
        (CallKind::Watch, CallOutcome::Abandoned),
        (CallKind::Watch, CallOutcome::Answered),
    ];
    for (kind, outcome) in calls {
        assert_eq!(counters.calls(kind, outcome), 1, "{kind:?} {outcome:?}");
    }
    let expected = CallCounts {
        get: 1,
        reads: 3,
        swap: 2,
        watch: 2,
        writes: 2,
        ..CallCounts::default()
    };
    while fixture.counts().await.waiting_watches > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fixture.counts().await, expected);
    fixture.stand_in.close().await;
}

#[tokio::test]
async fn vm_list_shows_changes_late() {
    let fixture = Fixture::start().await;
    let lag = StoreFaults {
        lag_ms: 500,
        ..StoreFaults::default()
    };
    fixture.set_faults(lag).await;
    let vms = vec![VmEntry {
        address: fixture.stand_in.address(),
        data_centre: "boston".try_into().unwrap(),
        name: "entry-1".to_owned(),
        role: VmRole::Entry,
        state: VmState::Live,
    }];
    let request = fixture.http.put(fixture.url("/v1/vms")).json(&vms);
    let put_at = Instant::now();
    assert!(request.send().await.unwrap().status().is_success());
    let list = HttpVmList::new(fixture.stand_in.address(), WAIT).unwrap();
    assert_eq!(list.vms().await.unwrap(), []);
    while list.vms().await.unwrap().is_empty() {
        assert!(put_at.elapsed() < WAIT);
        sleep(Duration::from_millis(20)).await;
    }
    assert!(put_at.elapsed() >= Duration::from_millis(500));
    assert_eq!(list.vms().await.unwrap(), vms);
    fixture.stand_in.close().await;
}
