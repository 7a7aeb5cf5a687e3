use poplargap_store::StoreRevision;

/// Up to which revisions a daemon has the changes of the store.
///
/// Evidence of crashes may come later than the other changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedPosition {
    /// Revision up to which the daemon has all changes.
    pub complete: StoreRevision,
    /// Revision up to which it has all changes but evidence of crashes; of the same era, and not lower.
    pub urgent: StoreRevision,
}

impl FeedPosition {
    /// Returns the later of two positions.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        Self {
            complete: self.complete.latest(other.complete),
            urgent: self.urgent.latest(other.urgent),
        }
    }
}

impl From<StoreRevision> for FeedPosition {
    fn from(revision: StoreRevision) -> Self {
        Self {
            complete: revision,
            urgent: revision,
        }
    }
}
