//! The catalogue in the platform's store: reading and editing by compare-and-swap.

use {
    crate::{
        CommandError, EditConflict, EditReceipt, EntryEdit, EntryVersion, StoredCatalogue,
        UnknownEdit,
    },
    poplargap_core::catalogue::{
        BUCKET_PREFIX, BucketRecord, EntryRecord, EntryRef, HistoryRecord, bucket_key, history_key,
    },
    poplargap_store::{
        KeyValueStore, SettleLimit, StoreError, StoredValue, SwapOutcome, SwapWrite, WriteEvidence,
        write_then_settle,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{cmp::Ordering, time::Duration},
    tokio::time::Instant,
};

/// Most attempts at one edit while other entries of its bucket change.
const ATTEMPTS_MAX: u32 = 16;

/// Pause after the first round that looks for the outcome of a write without an answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Most rounds that look for the outcome of a write without an answer.
const SETTLE_ROUNDS_MAX: u32 = 16;

/// The catalogue in a store.
#[derive(Clone, Debug)]
pub struct CatalogueStore<S> {
    settle_timeout: Duration,
    store: S,
}

impl<S: KeyValueStore> CatalogueStore<S> {
    /// Opens the catalogue in `store`.
    ///
    /// The outcome of a write without an answer is looked for during up to `settle_timeout`.
    #[must_use]
    pub fn new(store: S, settle_timeout: Duration) -> Self {
        Self {
            settle_timeout,
            store,
        }
    }

    /// Adds the edit's base to the history and then writes the edit, if its base is in force.
    ///
    /// # Errors
    ///
    /// Returns a conflict when another version is in force, an unknown edit when its outcome
    /// couldn't be found out, and otherwise why the edit had no effect.
    pub async fn edit(&self, edit: &EntryEdit) -> Result<EditReceipt, CommandError> {
        for _ in 0..ATTEMPTS_MAX {
            let stored = self
                .get_for_edit(&edit.entry, &bucket_key(&edit.entry))
                .await?;
            let mut bucket: BucketRecord = parse(stored.as_ref())?;
            let current = bucket.entries.get(&edit.entry.to_string());
            let version = EntryVersion::from(current);
            if version != edit.base {
                return Err(CommandError::Conflict(EditConflict::new(edit, version)));
            }
            if let Some(current) = current {
                self.add_to_history(&edit.entry, current).await?;
            }
            bucket.entries.insert(edit.entry.to_string(), edit.record());
            let write = SwapWrite {
                expected: stored.map(|stored| stored.revision),
                key: bucket_key(&edit.entry),
                lease: None,
                value: Some(serialize(&bucket)),
            };
            let limit = SettleLimit {
                deadline: Instant::now() + self.settle_timeout,
                pause: SETTLE_PAUSE,
                rounds_max: SETTLE_ROUNDS_MAX,
            };
            let evidence = |stored: &StoredValue| evidence_in(edit, stored);
            match write_then_settle(&self.store, &write, evidence, limit).await {
                SwapOutcome::Applied(revision) => {
                    return Ok(EditReceipt::accepted(edit, revision.number()));
                }
                SwapOutcome::Conflict(_) => {}
                SwapOutcome::Failed(error) => return Err(unwritten(&edit.entry, &error)),
                SwapOutcome::Unknown(error) => return self.resolve_unknown(edit, error).await,
            }
        }
        let reason = "the entries beside it keep changing";
        Err(unwritten(&edit.entry, &reason))
    }

    /// Reads the earlier versions of an entry.
    ///
    /// # Errors
    ///
    /// Returns why the store or the history can't be read.
    pub async fn history(&self, entry: &EntryRef) -> Result<HistoryRecord, CommandError> {
        let stored = self.get(&history_key(entry)).await?;
        parse(stored.as_ref())
    }

    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Returns why the store or one of its buckets can't be read.
    pub async fn read(&self) -> Result<StoredCatalogue, CommandError> {
        let mut catalogue = StoredCatalogue::default();
        let mut after: Option<String> = None;
        loop {
            let page = self
                .store
                .list(BUCKET_PREFIX, after.as_deref())
                .await
                .map_err(CommandError::StoreUnread)?;
            for stored in &page.values {
                let bucket: BucketRecord = parse(Some(stored))?;
                for (name, record) in bucket.entries {
                    let entry: EntryRef = name
                        .parse()
                        .map_err(|error| unreadable(&stored.key, &error))?;
                    catalogue.insert(entry, record);
                }
            }
            // A page that doesn't advance ends the loop, which would be endless otherwise.
            match page.next {
                Some(next) if after.as_ref() < Some(&next) => after = Some(next),
                _ => return Ok(catalogue),
            }
        }
    }

    async fn get(&self, key: &str) -> Result<Option<StoredValue>, CommandError> {
        self.store.get(key).await.map_err(CommandError::StoreUnread)
    }

    /// Reads a value for an edit of `entry`; on an error the edit isn't written.
    async fn get_for_edit(
        &self,
        entry: &EntryRef,
        key: &str,
    ) -> Result<Option<StoredValue>, CommandError> {
        self.store
            .get(key)
            .await
            .map_err(|error| unwritten(entry, &error))
    }

    /// Adds the version that an edit is about to replace to the entry's history.
    ///
    /// All writers add the same record of a version, so that after a lost answer it is enough to
    /// read the history again; no write id is needed.
    async fn add_to_history(
        &self,
        entry: &EntryRef,
        replaced: &EntryRecord,
    ) -> Result<(), CommandError> {
        let key = history_key(entry);
        let mut reason = "other writers keep changing its history".to_owned();
        for _ in 0..ATTEMPTS_MAX {
            let stored = self.get_for_edit(entry, &key).await?;
            let mut history: HistoryRecord = parse(stored.as_ref())?;
            if !history.add(replaced.clone()) {
                return Ok(());
            }
            let write = SwapWrite {
                expected: stored.map(|stored| stored.revision),
                key: key.clone(),
                lease: None,
                value: Some(serialize(&history)),
            };
            match self.store.swap(&write).await {
                SwapOutcome::Applied(_) => return Ok(()),
                SwapOutcome::Conflict(_) => {}
                SwapOutcome::Failed(error) => return Err(unwritten(entry, &error)),
                SwapOutcome::Unknown(error) => reason = error.to_string(),
            }
        }
        Err(unwritten(entry, &reason))
    }

    /// Finds out from the history whether an edit was written whose version has been replaced.
    ///
    /// A version is added to the history before it is replaced, so that the history has the id of
    /// the write that made the version after the edit's base.
    async fn resolve_unknown(
        &self,
        edit: &EntryEdit,
        error: StoreError,
    ) -> Result<EditReceipt, CommandError> {
        let reason = error.to_string();
        let unknown = CommandError::Unknown(UnknownEdit {
            entry: edit.entry.clone(),
            reason,
            version: edit.version(),
            write_id: edit.write_id.as_str().to_owned(),
        });
        if error != StoreError::Superseded {
            return Err(unknown);
        }
        let Ok(history) = self.history(&edit.entry).await else {
            return Err(unknown);
        };
        let Ok(stored) = self.get(&bucket_key(&edit.entry)).await else {
            return Err(unknown);
        };
        let bucket: BucketRecord = parse(stored.as_ref())?;
        let current = EntryVersion::from(bucket.entries.get(&edit.entry.to_string()));
        match history.get(edit.version()) {
            Some(kept) if kept.write_id == edit.write_id.as_str() => {
                Ok(EditReceipt::replaced(edit, current))
            }
            Some(_) => Err(CommandError::Conflict(EditConflict::new(edit, current))),
            None => Err(unknown),
        }
    }
}

/// Returns the evidence that a stored value of the bucket gives of the edit's write.
fn evidence_in(edit: &EntryEdit, stored: &StoredValue) -> WriteEvidence {
    let Ok(bucket) = parse::<BucketRecord>(Some(stored)) else {
        return WriteEvidence::Unclear;
    };
    let current = bucket.entries.get(&edit.entry.to_string());
    let version = EntryVersion::from(current);
    match version.version.cmp(&edit.version()) {
        Ordering::Equal if version.write_id == edit.write_id.as_str() => WriteEvidence::Applied,
        Ordering::Equal | Ordering::Less => WriteEvidence::NotApplied,
        Ordering::Greater => WriteEvidence::Unclear,
    }
}

fn parse<T: Default + DeserializeOwned>(stored: Option<&StoredValue>) -> Result<T, CommandError> {
    let Some(stored) = stored else {
        return Ok(T::default());
    };
    serde_json::from_str(&stored.value).map_err(|error| unreadable(&stored.key, &error))
}

fn serialize<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("records hold only text, numbers and lists")
}

fn unreadable(key: &str, reason: &impl ToString) -> CommandError {
    CommandError::BucketUnreadable {
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

fn unwritten(entry: &EntryRef, reason: &impl ToString) -> CommandError {
    CommandError::StoreUnwritten {
        entry: entry.clone(),
        reason: reason.to_string(),
    }
}
