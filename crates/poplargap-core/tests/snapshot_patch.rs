//! Property test: a patched snapshot equals one that is built from all entries.

use {
    poplargap_core::catalogue::{
        BucketRecord, BucketTable, CatalogueEntry, CatalogueSnapshot, ClassEntry, DataCentreEntry,
        EntryRecord, FencingCheck, KeyDigest, LimitSet, LoadMultiple, PoolEntry, PoolKind,
        PriorityClass, UpstreamEntry, UpstreamState, WorkspaceEntry, bucket_key,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

const NAME_COUNT: usize = 4;

#[derive(Clone, Debug)]
struct EntryEdit {
    entry: CatalogueEntry,
    removed: bool,
}

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{number}")
        .parse()
        .expect("the name is valid")
}

fn entry(kind: usize, number: usize, other: usize, third: usize) -> CatalogueEntry {
    match kind {
        0 => CatalogueEntry::Class(ClassEntry {
            deadline_ms: 1_000,
            limits: LimitSet::default(),
            name: name("class", number),
            owner: name("workspace", other),
            pool: name("pool", third),
            priority: PriorityClass::Batch,
            repeatable: true,
        }),
        1 => CatalogueEntry::DataCentre(DataCentreEntry {
            name: name("centre", number),
        }),
        2 => CatalogueEntry::Pool(PoolEntry {
            kind: PoolKind::Model,
            loads_at_once: None,
            multiple: LoadMultiple::try_from(1.5).expect("the multiple is in range"),
            name: name("pool", number),
            queue: 8,
            shard_size: u32::try_from(other).expect("the number is small") + 1,
            slots: 4,
        }),
        3 => CatalogueEntry::Upstream(UpstreamEntry {
            adapters: Vec::new(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            data_centre: name("centre", other),
            fencing: FencingCheck::Checked,
            model_version: None,
            name: name("upstream", number),
            pool: name("pool", third),
            role: None,
            state: UpstreamState::Serving,
        }),
        _ => CatalogueEntry::Workspace(WorkspaceEntry {
            key_sha256: KeyDigest::of_key(&format!("key-{other}")),
            name: name("workspace", number),
        }),
    }
}

fn edits() -> impl Strategy<Value = Vec<EntryEdit>> {
    let number = 0..NAME_COUNT;
    let edit = (
        0..5_usize,
        number.clone(),
        number.clone(),
        number,
        any::<bool>(),
    );
    let edit = edit.prop_map(|(kind, number, other, third, removed)| EntryEdit {
        entry: entry(kind, number, other, third),
        removed,
    });
    proptest::collection::vec(edit, 1..60)
}

fn describe(snapshot: &CatalogueSnapshot) -> String {
    let mut lines = vec![format!(
        "{:?} {:?} {:?} {:?} {:?}",
        snapshot.classes,
        snapshot.data_centres,
        snapshot.pools,
        snapshot.upstreams,
        snapshot.workspaces
    )];
    for number in 0..NAME_COUNT {
        let pool = name("pool", number);
        let digest = KeyDigest::of_key(&format!("key-{number}"));
        let owner = snapshot.workspace_of_key(&digest).map(|owner| &owner.name);
        lines.push(format!("{owner:?}"));
        for other in 0..NAME_COUNT {
            let classes: Vec<_> = snapshot
                .classes_of(&name("workspace", other), &pool)
                .collect();
            let shards = snapshot.shards_of(&pool, &name("centre", other));
            lines.push(format!("{classes:?} {shards:?}"));
        }
    }
    lines.join("\n")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn patched_snapshots_equal_rebuilt_snapshots(edits in edits(), snapshot_interval in 1..6_usize) {
        let mut buckets: BTreeMap<String, BucketRecord> = BTreeMap::new();
        let mut table = BucketTable::default();
        for (position, edit) in edits.iter().enumerate() {
            let revision = position as u64 + 1;
            let name = edit.entry.entry_ref();
            let key = bucket_key(&name);
            let bucket = buckets.entry(key.clone()).or_default();
            bucket.entries.insert(name.to_string(), EntryRecord {
                entry: (!edit.removed).then(|| edit.entry.clone()),
                version: revision,
                write_id: String::new(),
            });
            let value = serde_json::to_string(&bucket).expect("a bucket is serializable");
            prop_assert_eq!(table.accept(&key, revision, &value), Ok(true));
            table.complete(revision);
            if position % snapshot_interval != 0 {
                continue;
            }
            let entries: Vec<_> = buckets
                .values()
                .flat_map(|bucket| bucket.entries.values())
                .filter_map(|record| record.entry.clone())
                .map(Into::into)
                .collect();
            let rebuilt = CatalogueSnapshot::from_entries(revision, &entries);
            let patched = table.snapshot();
            prop_assert_eq!(patched.revision, revision);
            prop_assert_eq!(describe(&patched), describe(&rebuilt));
        }
    }
}
