//! Lists the values of the store, the urgent ones first.

use poplargap_store::{
    KeyValueStore, PositionError, StoreError, StoreRevision, StoredValue, ValuePage,
};

/// Bytes of values on the first page of several from which the others are listed out of order.
///
/// Shorter values come fast enough, and one listing in the order of the keys takes the fewest calls.
const LONG_PAGE_BYTES: usize = 512 * 1024;

/// Prefixes of the keys that a daemon follows.
#[derive(Clone, Debug)]
pub(super) struct FeedPrefixes {
    /// Prefixes of the evidence of crashes.
    pub(super) evidence: Vec<String>,
    /// Key of the routes.
    pub(super) routes: String,
    /// Prefixes of all other keys.
    pub(super) urgent: Vec<String>,
}

impl FeedPrefixes {
    /// Returns the longest prefix that all keys share.
    pub(super) fn common(&self) -> &str {
        let all = self.urgent.iter().chain(&self.evidence);
        let shared = |other: &String| {
            let pairs = self.routes.char_indices().zip(other.chars());
            let same = pairs.take_while(|((_, a), b)| a == b);
            same.last()
                .map_or(0, |((start, a), _)| start + a.len_utf8())
        };
        let len = all.map(shared).min().unwrap_or(self.routes.len());
        &self.routes[..len]
    }
}

/// A part of the store's values.
#[derive(Debug)]
pub(super) enum ListedPart {
    /// All values, as of a revision.
    All(StoreRevision, Vec<StoredValue>),
    /// The routes, ahead of the other values.
    Routes(StoredValue),
    /// All values but the evidence of crashes, as of a revision.
    Urgent(StoreRevision, Vec<StoredValue>),
}

/// Lists all values in the order of their keys; if they are long, the routes first, and the evidence of
/// crashes not at all.
///
/// Evidence may take megabytes, and its keys come before those of the routes. On a slow link a daemon
/// that starts, or whose store came back from a copy, would have the routes after all of it.
#[derive(Debug)]
pub(super) struct StoreListing {
    /// Revision at which a listing of long values began.
    begun: Option<StoreRevision>,
    prefixes: FeedPrefixes,
}

impl StoreListing {
    pub(super) fn new(prefixes: FeedPrefixes) -> Self {
        Self {
            begun: None,
            prefixes,
        }
    }

    /// Begins anew with the next part.
    pub(super) fn reset(&mut self) {
        self.begun = None;
    }

    /// Returns the next part of the listing; the last one is `All` or `Urgent`.
    ///
    /// The routes come ahead only if `has_replicas`: a daemon that starts refuses requests for which it has
    /// routes and no replicas. A watch after the listing starts at the revision of the first page.
    pub(super) async fn next<S: KeyValueStore>(
        &mut self,
        store: &S,
        has_replicas: bool,
    ) -> Result<ListedPart, StoreError> {
        let begun = if let Some(begun) = self.begun {
            begun
        } else {
            let page = store.list(self.prefixes.common(), None).await?;
            if page.next.is_none() || !is_long(&page) {
                return self.list_in_order(store, page).await;
            }
            if has_replicas && let Some(routes) = store.get(&self.prefixes.routes).await? {
                self.begun = Some(page.revision);
                return Ok(ListedPart::Routes(routes));
            }
            page.revision
        };
        let values = list_prefixes(store, &self.prefixes.urgent, begun).await?;
        self.begun = None;
        Ok(ListedPart::Urgent(begun, values))
    }

    /// Lists the pages that follow `first`.
    async fn list_in_order<S: KeyValueStore>(
        &self,
        store: &S,
        first: ValuePage,
    ) -> Result<ListedPart, StoreError> {
        let begun = first.revision;
        let mut values = first.values;
        let mut after = first.next;
        while let Some(last) = after {
            let page = store.list(self.prefixes.common(), Some(&last)).await?;
            check_era(begun, page.revision)?;
            values.extend(page.values);
            after = page.next;
        }
        Ok(ListedPart::All(begun, values))
    }
}

fn is_long(page: &ValuePage) -> bool {
    let lens = page.values.iter().map(|value| value.value.len());
    lens.sum::<usize>() > LONG_PAGE_BYTES
}

/// Lists all values under several prefixes, which must be of the same era as `begun`.
pub(super) async fn list_prefixes<S: KeyValueStore>(
    store: &S,
    prefixes: &[String],
    begun: StoreRevision,
) -> Result<Vec<StoredValue>, StoreError> {
    let mut values = Vec::new();
    for prefix in prefixes {
        let mut after: Option<String> = None;
        loop {
            let page = store.list(prefix, after.as_deref()).await?;
            check_era(begun, page.revision)?;
            values.extend(page.values);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
    }
    Ok(values)
}

fn check_era(begun: StoreRevision, read: StoreRevision) -> Result<(), StoreError> {
    match begun.compare(read) {
        Ok(_) => Ok(()),
        Err(PositionError::OtherEra { held, current }) => {
            Err(StoreError::EraChanged { held, current })
        }
    }
}
