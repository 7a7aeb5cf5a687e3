use {
    super::{IntakeState, ReplicaEntry},
    std::sync::Arc,
};

/// A replica with its estimated load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) entry: &'a Arc<ReplicaEntry>,
    pub(super) failure_ratio: f64,
    /// Whether it probably has the prompt's prefix in its cache.
    pub(super) has_prefix: bool,
    /// Weight of the replica's load report in the estimate, from 0 to 1.
    pub(super) confidence: f64,
    /// Whether it bears few requests yet.
    pub(super) is_cold: bool,
    /// Whether it takes new requests; `None` if the request may not use its data centre.
    pub(super) intake: Option<IntakeState>,
    /// Whether it is ejected or in an unreachable data centre.
    pub(super) is_unavailable: bool,
    /// Factor on the usual time of work.
    pub(super) pace: f64,
    pub(super) requests: f64,
}
