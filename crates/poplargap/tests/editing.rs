//! Edits by several operators on a store that loses answers and applies writes late.

mod support;

use {
    poplargap::{CatalogueStore, CommandError, EditReceipt, EntryEdit, EntryVersion, WriteId},
    poplargap_core::catalogue::{
        BUCKET_PREFIX, BucketRecord, CatalogueEntry, EntryKind, EntryRecord, EntryRef, PoolEntry,
        PoolKind, bucket_key,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    support::faulty_store::{FaultChances, FaultyStore},
    tokio::{runtime, task::JoinSet},
};

const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

fn pool(name: &str, queue: u32) -> CatalogueEntry {
    CatalogueEntry::Pool(PoolEntry {
        kind: PoolKind::Model,
        loads_at_once: None,
        multiple: 1.25.try_into().expect("the multiple is in range"),
        name: name.try_into().expect("the name is valid"),
        queue,
        shard_size: 32,
        slots: 8,
    })
}

/// Returns the names of two pools whose entries are in the same bucket.
fn names_in_one_bucket() -> [String; 2] {
    let entry = |i: u32| EntryRef {
        kind: EntryKind::Pool,
        name: format!("pool-{i}"),
    };
    let mut names = BTreeMap::new();
    for i in 0.. {
        if let Some(earlier) = names.insert(bucket_key(&entry(i)), i) {
            return [entry(earlier).name, entry(i).name];
        }
    }
    unreachable!("there are fewer buckets than names")
}

fn edit(name: &str, queue: u32, base: EntryVersion) -> EntryEdit {
    let content = pool(name, queue);
    EntryEdit {
        base,
        entry: content.entry_ref(),
        content: Some(content),
        write_id: WriteId::random(),
    }
}

fn version_of(receipt: &EditReceipt) -> EntryVersion {
    match receipt {
        EditReceipt::Accepted { version, .. } | EditReceipt::Replaced { version, .. } => {
            version.clone()
        }
        receipt => panic!("no version was written: {receipt}"),
    }
}

async fn run_edit(store: &CatalogueStore<FaultyStore>, edit: &EntryEdit) -> EntryVersion {
    let receipt = store.edit(edit).await.expect("the edit is accepted");
    version_of(&receipt)
}

#[tokio::test(start_paused = true)]
async fn conflict_names_both_versions_and_writes() {
    let store = CatalogueStore::new(FaultyStore::new(1, FaultChances::default()), SETTLE_TIMEOUT);
    let base = run_edit(&store, &edit("curves", 1, EntryVersion::default())).await;
    let current = run_edit(&store, &edit("curves", 2, base.clone())).await;
    let late = edit("curves", 3, base.clone());
    let Err(CommandError::Conflict(conflict)) = store.edit(&late).await else {
        panic!("the later edit must lose");
    };
    assert_eq!(conflict.base, base);
    assert_eq!(conflict.current, current);
    assert_eq!(
        conflict.to_string(),
        format!(
            "`pool curves` is at version 2 (write {}); the edit {} is based on version 1 (write {})",
            current.write_id, late.write_id, base.write_id
        )
    );
}

#[tokio::test(start_paused = true)]
async fn edits_of_other_entries_in_the_bucket_are_no_conflict() {
    let [first, second] = names_in_one_bucket();
    let faulty = FaultyStore::new(2, FaultChances::default());
    let store = CatalogueStore::new(faulty, SETTLE_TIMEOUT);
    let edits = [
        edit(&first, 1, EntryVersion::default()),
        edit(&second, 1, EntryVersion::default()),
    ];
    let (one, other) = tokio::join!(store.edit(&edits[0]), store.edit(&edits[1]));
    one.expect("the edit is accepted");
    other.expect("the edit is accepted");
    assert_eq!(
        store
            .read()
            .await
            .expect("the store answers")
            .records()
            .count(),
        2
    );
}

#[tokio::test(start_paused = true)]
async fn history_keeps_sixteen_replaced_versions() {
    let store = CatalogueStore::new(FaultyStore::new(3, FaultChances::default()), SETTLE_TIMEOUT);
    let mut version = EntryVersion::default();
    for queue in 1..=20 {
        version = run_edit(&store, &edit("curves", queue, version)).await;
    }
    let entry = pool("curves", 0).entry_ref();
    let history = store.history(&entry).await.expect("the store answers");
    let versions: Vec<u64> = history.versions().iter().map(|kept| kept.version).collect();
    assert_eq!(versions, (4..=19).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn outcome_stays_unknown_without_answers() {
    let faulty = FaultyStore::new(4, FaultChances::default());
    let store = CatalogueStore::new(faulty.clone(), SETTLE_TIMEOUT);
    let base = run_edit(&store, &edit("curves", 1, EntryVersion::default())).await;
    let next = run_edit(&store, &edit("curves", 2, base)).await;
    faulty.set_chances(FaultChances {
        dropped: 100,
        ..FaultChances::default()
    });
    let error = store.edit(&edit("curves", 3, next.clone())).await;
    assert!(
        matches!(&error, Err(CommandError::StoreUnwritten { .. })),
        "{error:?}"
    );
    let first = edit("other", 1, EntryVersion::default());
    let error = store.edit(&first).await;
    assert!(matches!(&error, Err(CommandError::Unknown(_))), "{error:?}");
}

/// Outcome of an edit as the store client reported it to its operator.
#[derive(Debug)]
enum EditOutcome {
    Accepted,
    NotWritten,
    Unknown,
}

/// Edits one of two pools a few times, each time based on the version just read.
async fn operate(
    store: CatalogueStore<FaultyStore>,
    operator: u32,
) -> Vec<(EntryEdit, EditOutcome)> {
    let names = names_in_one_bucket();
    let mut reported = Vec::new();
    for round in 0..8 {
        let Ok(catalogue) = store.read().await else {
            continue;
        };
        let name = &names[((operator + round) % 2) as usize];
        let mut edit = edit(name, operator * 100 + round, EntryVersion::default());
        edit.base = catalogue.version(&edit.entry);
        let outcome = match store.edit(&edit).await {
            Ok(_) => EditOutcome::Accepted,
            Err(CommandError::Unknown(_)) => EditOutcome::Unknown,
            Err(CommandError::Conflict(_) | CommandError::StoreUnwritten { .. }) => {
                EditOutcome::NotWritten
            }
            Err(error) => panic!("an edit can't end with this error: {error}"),
        };
        reported.push((edit, outcome));
    }
    reported
}

async fn race(seed: u64, chances: FaultChances) -> Result<(), TestCaseError> {
    let faulty = FaultyStore::new(seed, chances);
    let store = CatalogueStore::new(faulty.clone(), SETTLE_TIMEOUT);
    let mut operators = JoinSet::new();
    for operator in 0..4 {
        operators.spawn(operate(store.clone(), operator));
    }
    let reported: Vec<(EntryEdit, EditOutcome)> =
        operators.join_all().await.into_iter().flatten().collect();
    let mut records: BTreeMap<String, Vec<EntryRecord>> = BTreeMap::new();
    for stored in faulty.finish() {
        if !stored.key.starts_with(BUCKET_PREFIX) {
            continue;
        }
        let bucket: BucketRecord = serde_json::from_str(&stored.value).expect("a bucket is JSON");
        for (entry, record) in bucket.entries {
            let versions = records.entry(entry).or_default();
            if versions.last() != Some(&record) {
                versions.push(record);
            }
        }
    }
    for versions in records.values() {
        let numbers: Vec<u64> = versions.iter().map(|record| record.version).collect();
        prop_assert_eq!(numbers, (1..=versions.len() as u64).collect::<Vec<_>>());
    }
    let written: BTreeSet<&str> = records
        .values()
        .flatten()
        .map(|record| record.write_id.as_str())
        .collect();
    for (edit, reported) in &reported {
        let is_written = written.contains(edit.write_id.as_str());
        match reported {
            EditOutcome::Accepted => prop_assert!(is_written, "accepted but lost: {:?}", edit),
            EditOutcome::NotWritten => prop_assert!(!is_written, "refused but written: {:?}", edit),
            EditOutcome::Unknown => {}
        }
    }
    faulty.set_chances(FaultChances::default());
    for (entry, versions) in &records {
        let entry = entry.parse().expect("the bucket names an entry");
        let history = store.history(&entry).await.expect("the store answers");
        let replaced = &versions[..versions.len() - 1];
        let kept = &replaced[replaced.len().saturating_sub(16)..];
        for record in kept {
            prop_assert_eq!(history.get(record.version), Some(record));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(73),
        ..Config::default()
    })]

    #[test]
    fn reported_outcomes_are_true(
        seed in any::<u64>(),
        dropped in 0..20_u32,
        late in 0..40_u32,
        lost in 0..40_u32,
        unsent in 0..20_u32,
    ) {
        let runtime = runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        runtime.block_on(race(seed, FaultChances { dropped, late, lost, unsent }))?;
    }
}
