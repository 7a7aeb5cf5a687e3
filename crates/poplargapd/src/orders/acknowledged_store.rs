//! The acknowledged orders of a data centre in the platform's store.

use {
    super::KEY_PREFIX,
    poplargap_core::{name::DataCentre, order::AcknowledgedRecord},
    poplargap_store::{
        KeyValueStore, StoreError, StoreRevision, StoredValue, SwapOutcome, SwapWrite,
    },
};

/// Outcome of a write of the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordWrite {
    /// A newer holder has written.
    Fenced,
    /// The store may or may not have the record; it has to be written again.
    Unconfirmed,
    /// The store has the record.
    Written,
}

/// Revision that the next write expects.
#[derive(Clone, Copy, Debug)]
enum ExpectedRevision {
    Known(Option<StoreRevision>),
    /// A write wasn't confirmed, or nothing has been read yet.
    Unknown,
}

/// Reads and writes the record of acknowledged orders by compare-and-swap.
#[derive(Debug)]
pub(super) struct AcknowledgedStore<S> {
    expected: ExpectedRevision,
    key: String,
    store: S,
}

impl<S: KeyValueStore> AcknowledgedStore<S> {
    pub(super) fn new(store: S, data_centre: &DataCentre) -> Self {
        Self {
            expected: ExpectedRevision::Unknown,
            key: format!("{KEY_PREFIX}/{data_centre}/acknowledged"),
            store,
        }
    }

    /// Reads the record, which is empty if no holder has written one.
    pub(super) async fn read(&mut self) -> Result<AcknowledgedRecord, StoreError> {
        let stored = self.store.get(&self.key).await?;
        let revision = stored.as_ref().map(|stored| stored.revision);
        self.expected = ExpectedRevision::Known(revision);
        stored.map_or_else(
            || Ok(AcknowledgedRecord::default()),
            |stored| parse(&stored),
        )
    }

    /// Writes the record unless a newer holder has written one.
    pub(super) async fn write(&mut self, record: &AcknowledgedRecord) -> RecordWrite {
        if let ExpectedRevision::Unknown = self.expected {
            match self.read().await {
                Ok(stored) if stored.fence > record.fence => return RecordWrite::Fenced,
                Ok(_) => {}
                Err(_) => return RecordWrite::Unconfirmed,
            }
        }
        let ExpectedRevision::Known(expected) = self.expected else {
            return RecordWrite::Unconfirmed;
        };
        let Ok(value) = serde_json::to_string(record) else {
            return RecordWrite::Unconfirmed;
        };
        let write = SwapWrite {
            expected,
            key: self.key.clone(),
            lease: None,
            value: Some(value),
        };
        self.expected = ExpectedRevision::Unknown;
        match self.store.swap(&write).await {
            SwapOutcome::Applied(revision) => {
                self.expected = ExpectedRevision::Known(Some(revision));
                RecordWrite::Written
            }
            SwapOutcome::Conflict(_) | SwapOutcome::Failed(_) | SwapOutcome::Unknown(_) => {
                RecordWrite::Unconfirmed
            }
        }
    }
}

fn parse(stored: &StoredValue) -> Result<AcknowledgedRecord, StoreError> {
    serde_json::from_str(&stored.value).map_err(|error| StoreError::Malformed(error.to_string()))
}
