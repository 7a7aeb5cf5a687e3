use {
    poplargap_store::{StoreEra, StoreRevision},
    std::time::Duration,
};

/// First segment of the URL path.
const PATH_ROOT: &str = "changes";

/// Longest wait that a daemon may ask for.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// A request of one daemon to another for changes of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ChangeRequest {
    /// Revision after which changes are requested.
    pub(super) after: StoreRevision,
    /// Longest wait for a change.
    pub(super) wait: Duration,
}

impl ChangeRequest {
    /// Parses a URL path, `/changes/AFTER/WAIT-MS`, of a daemon that follows `era`.
    pub(super) fn parse(path: &str, era: StoreEra) -> Option<Self> {
        let mut segments = path.strip_prefix('/')?.split('/');
        if segments.next() != Some(PATH_ROOT) {
            return None;
        }
        let after = segments.next()?.parse().ok()?;
        let wait_ms = segments.next()?.parse().ok()?;
        segments.next().is_none().then_some(Self {
            after: StoreRevision::new(era, after),
            wait: Duration::from_millis(wait_ms).min(WAIT_MAX),
        })
    }

    /// Returns the URL path of the request.
    pub(super) fn path(&self) -> String {
        let after = self.after.number();
        let wait_ms = self.wait.as_millis();
        format!("/{PATH_ROOT}/{after}/{wait_ms}")
    }
}
