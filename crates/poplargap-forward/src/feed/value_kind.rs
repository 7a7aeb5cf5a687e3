use {
    crate::{FeedDialect, peers::PEERS_PREFIX},
    strum::IntoStaticStr,
};

/// What a stored value is about, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum ValueKind {
    /// The routes, with the callers' keys.
    Routes,
    /// An operator's request to evacuate a data centre.
    Evacuation,
    /// A replica's registration.
    Replica,
    /// Another daemon's entry.
    Peer,
    /// Evidence of crashes, or anything else that no change of the routing waits for.
    Evidence,
}

impl ValueKind {
    /// Returns whether a change has to take effect within a bounded time.
    #[must_use]
    pub fn is_bounded(self) -> bool {
        match self {
            Self::Routes | Self::Evacuation | Self::Replica => true,
            Self::Peer | Self::Evidence => false,
        }
    }

    /// Returns the kind of the value under `key`.
    pub(super) fn of<F: FeedDialect>(dialect: &F, key: &str) -> Self {
        if key == dialect.routes_key() {
            Self::Routes
        } else if key.starts_with(dialect.evacuations_prefix()) {
            Self::Evacuation
        } else if key.starts_with(dialect.replicas_prefix()) {
            Self::Replica
        } else if key.starts_with(PEERS_PREFIX) {
            Self::Peer
        } else {
            Self::Evidence
        }
    }
}
