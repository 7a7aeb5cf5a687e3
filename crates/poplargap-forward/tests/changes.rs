//! Tests of the changes of the store that a daemon keeps for others.

use {
    poplargap_core::instant::MonotonicInstant,
    poplargap_forward::{
        ChangeLog, ChangeLogError, FeedBatch, FeedBatchBody, FeedPosition, FeedValue,
    },
    poplargap_store::{StoreEra, StoreEras, StoreRevision, WatchBatch, WatchChange},
    proptest::{collection::vec, prop_assert, prop_assert_eq, prop_assert_ne, proptest},
    std::{cmp::Ordering, collections::BTreeMap, time::Duration},
};

/// Most bytes of changes that a log may send at once.
const BATCH_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Most bytes of evidence of crashes that a log may send at once, as they are encoded.
const EVIDENCE_BYTES_MAX: usize = 24 * 1024;

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn change(revision: u64, key: &str, value: Option<String>) -> WatchChange {
    WatchChange {
        key: key.to_owned(),
        revision: StoreRevision::new(StoreEra::default(), revision),
        value,
    }
}

fn batch(changes: Vec<WatchChange>, revision: u64) -> WatchBatch {
    WatchBatch {
        changes,
        revision: StoreRevision::new(StoreEra::default(), revision),
    }
}

fn started(revision: u64) -> ChangeLog {
    let mut log = ChangeLog::default();
    log.start(StoreRevision::new(StoreEra::default(), revision), at(0));
    log
}

fn since(log: &ChangeLog, after: u64) -> FeedBatch {
    let read = log.since(StoreRevision::new(StoreEra::default(), after), at(100));
    read.expect("the log has the changes")
}

#[test]
fn log_that_is_not_started_returns_nothing() {
    let log = ChangeLog::default();
    let read = log.since(StoreRevision::new(StoreEra::default(), 1), at(0));
    assert_eq!(read, Err(ChangeLogError::NotReading));
}

#[test]
fn changes_before_the_start_are_refused() {
    let mut log = started(10);
    log.append(&batch(vec![change(11, "a", None)], 11), false, at(0));
    let read = log.since(StoreRevision::new(StoreEra::default(), 9), at(0));
    assert_eq!(read, Err(ChangeLogError::Dropped(9)));
    assert_eq!(since(&log, 10).changes.len(), 1);
}

#[test]
fn age_is_the_time_since_the_last_read() {
    let mut log = started(10);
    assert_eq!(since(&log, 10).age_ms, 100);
    log.append(&batch(Vec::new(), 10), false, at(60));
    assert_eq!(since(&log, 10).age_ms, 40);
}

/// A storm of configurations on a link of 10 Mbit/s: each answer held every version since the one
/// before, and the changes of registrations behind them came 2.9 s late.
#[test]
fn long_values_and_superseded_changes_are_left_out() {
    let mut log = started(10);
    let configuration = "c".repeat(50_000);
    let mut changes: Vec<WatchChange> = (11..40)
        .map(|revision| change(revision, "op/config", Some(configuration.clone())))
        .collect();
    changes.push(change(40, "servers/i-1", Some("ready".to_owned())));
    changes.push(change(41, "servers/i-1", Some("draining".to_owned())));
    log.append(&batch(changes, 41), false, at(0));
    let sent = since(&log, 10);
    let values: Vec<(&str, &FeedValue)> = sent
        .changes
        .iter()
        .map(|change| (change.key.as_str(), &change.value))
        .collect();
    let draining = FeedValue::Given("draining".to_owned());
    assert_eq!(
        values,
        [
            ("op/config", &FeedValue::Omitted),
            ("servers/i-1", &draining)
        ]
    );
    let encoded = serde_json::to_vec(&FeedBatchBody::from(sent)).expect("it can be encoded");
    assert!(encoded.len() < 1_000, "{}", encoded.len());
}

#[test]
fn outage_is_reported_to_those_who_did_not_see_the_changes_after_it() {
    let mut log = started(10);
    log.append(&batch(vec![change(11, "a", None)], 11), false, at(0));
    log.append(&batch(vec![change(12, "b", None)], 12), true, at(0));
    log.append(&batch(vec![change(13, "c", None)], 13), false, at(0));
    assert!(since(&log, 11).after_outage);
    assert!(!since(&log, 12).after_outage);
}

// A crash of many replicas: the registrations behind 1.2 MB of reports came with them, at each of the
// daemons that a reader with a link of 10 Mbit/s sends changes to.
#[test]
fn registration_is_sent_behind_all_crash_reports() {
    let mut log = started(0);
    for revision in 1..=400 {
        let report = change(
            revision,
            &format!("crash-reports/{revision:03}"),
            Some("r".repeat(3_000)),
        );
        log.append(&batch(vec![report], revision), false, at(0));
    }
    let draining = change(401, "servers/i-1", Some("draining".to_owned()));
    log.append(&batch(vec![draining], 401), true, at(0));
    let mut reports = 0;
    let mut after = FeedPosition::from(StoreRevision::new(StoreEra::default(), 0));
    let mut batches = 0;
    while after.complete.number() < 401 {
        let sent = log.since(after, at(0)).expect("the log has the changes");
        let registrations = sent
            .changes
            .iter()
            .filter(|change| change.key == "servers/i-1")
            .count();
        assert_eq!(
            registrations,
            usize::from(batches == 0),
            "sent once, with the first reports"
        );
        assert_eq!(sent.after_outage, batches == 0);
        assert_eq!(sent.urgent.number(), 401);
        assert!(
            sent.revision.compare(after.complete) == Ok(Ordering::Greater),
            "it goes on"
        );
        reports += sent.changes.len() - registrations;
        after = sent.position();
        let encoded = serde_json::to_vec(&FeedBatchBody::from(sent)).expect("it can be encoded");
        assert!(encoded.len() < EVIDENCE_BYTES_MAX, "{}", encoded.len());
        batches += 1;
    }
    assert_eq!(reports, 400);
}

#[test]
fn log_is_bounded_and_reports_what_it_dropped() {
    let mut log = started(0);
    for revision in 1..=20_000 {
        let value = Some("v".repeat(1_000));
        let key = format!("servers/{revision}");
        let changes = vec![change(revision, &key, value)];
        log.append(&batch(changes, revision), false, at(0));
    }
    let early = log.since(StoreRevision::new(StoreEra::default(), 10), at(0));
    assert_eq!(early, Err(ChangeLogError::Dropped(10)));
    let kept = (0..20_000)
        .find_map(|after| {
            log.since(StoreRevision::new(StoreEra::default(), after), at(0))
                .ok()
        })
        .expect("the newest changes are kept");
    let bytes: usize = kept
        .changes
        .iter()
        .map(|change| change.key.len() + 1_000)
        .sum();
    assert!(bytes <= BATCH_BYTES_MAX, "{bytes}");
    assert_eq!(
        kept.revision,
        StoreRevision::new(StoreEra::default(), 20_000)
    );
}

proptest! {
    /// A follower that polls at any times, and starts again from a listing when the log no longer
    /// has its changes, ends with the values of the store; its revision never falls.
    #[test]
    fn follower_converges_on_the_values_of_the_store(
        steps in vec((0_u8..6, 0_u8..5, 1_usize..6_000, 0_u8..8), 1..200),
    ) {
        let mut store: BTreeMap<String, String> = BTreeMap::new();
        let mut follower = store.clone();
        let mut log = started(0);
        let mut after = 0;
        for (revision, (key, kind, len, action)) in (1..).zip(steps) {
            let key = format!("servers/{key}");
            let value = (kind > 0).then(|| format!("{revision}-{}", "v".repeat(len)));
            match &value {
                Some(value) => store.insert(key.clone(), value.clone()),
                None => store.remove(&key),
            };
            log.append(&batch(vec![change(revision, &key, value)], revision), false, at(0));
            match action {
                // The reader restarts.
                0 => log = started(revision),
                1..4 => {
                    if let Ok(sent) = log.since(StoreRevision::new(StoreEra::default(), after), at(0)) {
                        prop_assert!(sent.revision.number() >= after);
                        prop_assert!(sent.changes.iter().all(|change| change.revision.number() > after));
                        after = sent.revision.number();
                        apply(&mut follower, sent, &store);
                    } else {
                        follower.clone_from(&store);
                        after = revision;
                    }
                }
                _ => {}
            }
            if after == revision {
                prop_assert_eq!(&follower, &store);
            }
        }
    }
}

proptest! {
    /// Answers of several eras arrive in any order: the era never falls, and a follower gets changes
    /// after its own position in its own era, or an error.
    #[test]
    fn answers_of_two_eras_in_any_order_never_mix(
        answers in vec((1_u64..4, 1_u64..40, 0_u8..3), 1..80),
    ) {
        let eras = StoreEras::default();
        let mut log = ChangeLog::default();
        let mut newest = 0;
        for (era, number, action) in answers {
            let position = StoreRevision::new(StoreEra::new(era), number);
            let read = eras.observe(Some(StoreEra::new(era)));
            newest = newest.max(era);
            prop_assert_eq!(read, StoreEra::new(era));
            prop_assert_eq!(eras.current(), StoreEra::new(newest));
            match action {
                0 if era == newest => log.start(position, at(0)),
                1 => {
                    let changes = (1..=number).map(|number| WatchChange {
                        key: format!("{era}-{number}"),
                        revision: StoreRevision::new(StoreEra::new(era), number),
                        value: Some(era.to_string()),
                    });
                    let changes = changes.collect();
                    log.append(&WatchBatch { changes, revision: position }, false, at(0));
                }
                _ => {}
            }
            for reader in 1..4 {
                let after = StoreRevision::new(StoreEra::new(reader), number);
                match log.since(after, at(0)) {
                    Ok(batch) => {
                        prop_assert_eq!(batch.revision.era(), after.era());
                        for change in &batch.changes {
                            prop_assert_eq!(change.revision.compare(after), Ok(Ordering::Greater));
                            prop_assert_eq!(&change.value, &FeedValue::Given(reader.to_string()));
                        }
                    }
                    Err(ChangeLogError::OtherEra(own)) => prop_assert_ne!(own, after.era()),
                    Err(ChangeLogError::Dropped(_) | ChangeLogError::NotReading) => {}
                }
            }
        }
    }
}

proptest! {
    /// A follower that gets evidence in parts has each other change as soon as it polls, and in the end
    /// the values of the store.
    #[test]
    fn evidence_in_parts_delays_no_other_change(
        steps in vec((0_u8..6, 0_u8..40, 1_usize..4_000, 0_u8..4), 1..300),
    ) {
        let mut store: BTreeMap<String, String> = BTreeMap::new();
        let mut follower = store.clone();
        let mut log = started(0);
        let mut after = FeedPosition::from(StoreRevision::new(StoreEra::default(), 0));
        let end = u64::try_from(steps.len()).expect("few steps");
        for (revision, (kind, key, len, action)) in (1..).zip(steps) {
            let prefix = ["crash-reports/", "crash-reports/", "crash-reports/", "sound-parts/", "servers/", "op/config"];
            let key = format!("{}{key}", prefix[usize::from(kind)]);
            let value = (len % 7 > 0).then(|| format!("{revision}-{}", "v".repeat(len)));
            match &value {
                Some(value) => store.insert(key.clone(), value.clone()),
                None => store.remove(&key),
            };
            log.append(&batch(vec![change(revision, &key, value)], revision), false, at(0));
            if action == 0 {
                let sent = log.since(after, at(0)).expect("the log has the changes");
                prop_assert_eq!(sent.urgent.number(), revision);
                after = sent.position().latest(after);
                apply(&mut follower, sent, &store);
                let is_urgent = |(key, _): &(&String, &String)| !key.starts_with("crash-") && !key.starts_with("sound-");
                let known: Vec<_> = follower.iter().filter(is_urgent).collect();
                let stored: Vec<_> = store.iter().filter(is_urgent).collect();
                prop_assert_eq!(known, stored);
            }
        }
        while after.complete.number() < end {
            let sent = log.since(after, at(0)).expect("the log has the changes");
            prop_assert!(sent.revision.compare(after.complete) == Ok(Ordering::Greater));
            after = sent.position();
            apply(&mut follower, sent, &store);
        }
        prop_assert_eq!(&follower, &store);
    }
}

/// Applies a batch; omitted values are read from the store.
fn apply(
    values: &mut BTreeMap<String, String>,
    batch: FeedBatch,
    store: &BTreeMap<String, String>,
) {
    for change in batch.changes {
        let value = match change.value {
            FeedValue::Given(value) => Some(value),
            FeedValue::Omitted => store.get(&change.key).cloned(),
            FeedValue::Removed => None,
        };
        match value {
            Some(value) => values.insert(change.key, value),
            None => values.remove(&change.key),
        };
    }
}
