//! Writes many catalogue entries directly to the store, without the operators' command.

use {
    super::{CapacityError, FleetSize},
    poplargap_core::{
        catalogue::{
            BUCKET_PREFIX, BucketRecord, CatalogueEntry, ClassEntry, DataCentreEntry, EntryRecord,
            FencingCheck, KeyDigest, LimitSet, LoadMultiple, PoolEntry, PoolKind, PriorityClass,
            UpstreamEntry, UpstreamState, WorkspaceEntry, bucket_key,
        },
        name::NameError,
    },
    poplargap_platform::StoreClient,
    poplargap_store::{KeyValueStore, StoreRevision, SwapOutcome, SwapWrite},
    std::{collections::BTreeMap, fmt::Display, net::SocketAddr, time::Duration},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CLASSES: [&str; 3] = ["notes", "reports", "checks"];

/// A catalogue bucket and its revision in the store, which is `None` until it is first written.
#[derive(Debug, Default)]
struct FilledBucket {
    record: BucketRecord,
    revision: Option<StoreRevision>,
}

/// Writes catalogue buckets to the store and keeps a copy of their contents.
#[derive(Debug)]
pub struct CatalogueFiller {
    buckets: BTreeMap<String, FilledBucket>,
    store: StoreClient,
    change_count: usize,
}

/// Returns the name of the data centre with this index in a measured fleet.
pub(super) fn data_centre_name(number: usize) -> String {
    format!("centre-{number:02}")
}

impl CatalogueFiller {
    /// Reads the catalogue of the store at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't answer or a bucket can't be parsed.
    pub async fn read(address: SocketAddr) -> Result<Self, CapacityError> {
        let store = StoreClient::new(address, CALL_TIMEOUT).map_err(catalogue_error)?;
        let mut buckets = BTreeMap::new();
        let mut after: Option<String> = None;
        loop {
            let page = store.list(BUCKET_PREFIX, after.as_deref()).await;
            let page = page.map_err(catalogue_error)?;
            for value in page.values {
                let record = serde_json::from_str(&value.value).map_err(catalogue_error)?;
                let revision = Some(value.revision);
                buckets.insert(value.key, FilledBucket { record, revision });
            }
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        Ok(Self {
            buckets,
            store,
            change_count: 0,
        })
    }

    /// Adds the entries of a fleet whose upstreams all have the address `upstream`; returns the
    /// store revision of the last write.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is invalid or the store doesn't accept a bucket.
    pub async fn fill(
        &mut self,
        size: &FleetSize,
        upstream: SocketAddr,
    ) -> Result<u64, CapacityError> {
        let entries = fleet_entries(size, upstream).map_err(catalogue_error)?;
        let mut keys = Vec::new();
        for entry in entries {
            let name = entry.entry_ref();
            let key = bucket_key(&name);
            let record = EntryRecord {
                entry: Some(entry),
                version: 1,
                write_id: format!("{:032x}", keys.len()),
            };
            let bucket = self.buckets.entry(key.clone()).or_default();
            bucket.record.entries.insert(name.to_string(), record);
            keys.push(key);
        }
        keys.sort();
        keys.dedup();
        let mut revision = 0;
        for key in keys {
            revision = self.write(&key).await?;
        }
        Ok(revision)
    }

    /// Increments the version of the first entry of one bucket, taking the buckets in turn; returns
    /// the store revision of the write.
    ///
    /// # Errors
    ///
    /// Returns an error when the catalogue is empty or the store doesn't accept the bucket.
    pub async fn change_next_bucket(&mut self) -> Result<u64, CapacityError> {
        let position = self.change_count % self.buckets.len();
        self.change_count += 1;
        let Some((key, bucket)) = self.buckets.iter_mut().nth(position) else {
            return Err(CapacityError::Catalogue("it is empty".to_owned()));
        };
        if let Some(record) = bucket.record.entries.values_mut().next() {
            record.version += 1;
        }
        let key = key.clone();
        self.write(&key).await
    }

    async fn write(&mut self, key: &str) -> Result<u64, CapacityError> {
        let Some(bucket) = self.buckets.get_mut(key) else {
            return Err(CapacityError::Catalogue(format!("`{key}` is missing")));
        };
        let write = SwapWrite {
            expected: bucket.revision,
            key: key.to_owned(),
            lease: None,
            value: Some(serde_json::to_string(&bucket.record).map_err(catalogue_error)?),
        };
        match self.store.swap(&write).await {
            SwapOutcome::Applied(revision) => {
                bucket.revision = Some(revision);
                Ok(revision.number())
            }
            outcome => Err(CapacityError::Catalogue(format!("{outcome:?}"))),
        }
    }
}

fn catalogue_error<E: Display>(error: E) -> CapacityError {
    CapacityError::Catalogue(format!("{error}"))
}

fn fleet_entries(size: &FleetSize, upstream: SocketAddr) -> Result<Vec<CatalogueEntry>, NameError> {
    let mut entries = Vec::new();
    for number in 0..size.data_centres {
        let name = data_centre_name(number).parse()?;
        entries.push(CatalogueEntry::DataCentre(DataCentreEntry { name }));
    }
    for number in 0..size.pools {
        entries.push(pool_entry(number)?);
    }
    for number in 0..size.upstreams {
        entries.push(CatalogueEntry::Upstream(UpstreamEntry {
            adapters: Vec::new(),
            address: upstream,
            data_centre: data_centre_name(number % size.data_centres).parse()?,
            fencing: FencingCheck::Checked,
            model_version: None,
            name: format!("engine-{number:05}").parse()?,
            pool: pool_name(number / size.data_centres % size.pools).parse()?,
            role: None,
            state: UpstreamState::Serving,
        }));
    }
    for number in 0..size.workspaces {
        entries.extend(workspace_entries(number, size.pools)?);
    }
    Ok(entries)
}

fn pool_name(number: usize) -> String {
    format!("model-{number:02}")
}

fn pool_entry(number: usize) -> Result<CatalogueEntry, NameError> {
    Ok(CatalogueEntry::Pool(PoolEntry {
        kind: PoolKind::Model,
        loads_at_once: None,
        multiple: LoadMultiple::try_from(1.5).expect("1.5 is in range"),
        name: pool_name(number).parse()?,
        queue: 256,
        shard_size: 32,
        slots: 24,
    }))
}

fn workspace_entries(number: usize, pools: usize) -> Result<Vec<CatalogueEntry>, NameError> {
    let owner = format!("workspace-{number:05}");
    let mut entries = vec![CatalogueEntry::Workspace(WorkspaceEntry {
        key_sha256: KeyDigest::of_key(&owner),
        name: owner.parse()?,
    })];
    for (position, class) in CLASSES.iter().enumerate() {
        entries.push(CatalogueEntry::Class(ClassEntry {
            deadline_ms: 60_000,
            limits: LimitSet::default(),
            name: format!("{owner}.{class}").parse()?,
            owner: owner.parse()?,
            pool: pool_name((number + position) % pools).parse()?,
            priority: PriorityClass::Interactive,
            repeatable: true,
        }));
    }
    Ok(entries)
}
