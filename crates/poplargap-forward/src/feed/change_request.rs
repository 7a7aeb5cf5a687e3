use {
    super::{
        FeedPosition,
        change_body::{URGENT_HEADER, read_urgent},
    },
    hyper::HeaderMap,
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
    /// Position after which changes are requested.
    pub(super) after: FeedPosition,
    /// Longest wait for a change.
    pub(super) wait: Duration,
}

impl ChangeRequest {
    /// Parses a URL path, `/changes/AFTER/WAIT-MS`, and the headers of a daemon that follows `era`.
    pub(super) fn parse(path: &str, headers: &HeaderMap, era: StoreEra) -> Option<Self> {
        let mut segments = path.strip_prefix('/')?.split('/');
        if segments.next() != Some(PATH_ROOT) {
            return None;
        }
        let after = segments.next()?.parse().ok()?;
        let wait_ms = segments.next()?.parse().ok()?;
        segments.next().is_none().then_some(Self {
            after: FeedPosition {
                complete: StoreRevision::new(era, after),
                urgent: StoreRevision::new(era, read_urgent(headers, after)),
            },
            wait: Duration::from_millis(wait_ms).min(WAIT_MAX),
        })
    }

    /// Returns the request's header with the position of urgent changes.
    pub(super) fn urgent(&self) -> (&'static str, u64) {
        (URGENT_HEADER, self.after.urgent.number())
    }

    /// Returns the URL path of the request.
    pub(super) fn path(&self) -> String {
        let after = self.after.complete.number();
        let wait_ms = self.wait.as_millis();
        format!("/{PATH_ROOT}/{after}/{wait_ms}")
    }
}
