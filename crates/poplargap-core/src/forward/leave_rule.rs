use {std::time::Duration, strum::IntoStaticStr};

/// Prompt tokens that a replica reads in a millisecond.
const TOKENS_PER_MS: f64 = 60.0;

/// Bytes of an answer that is a stream, on top of those of its request.
const STREAM_BYTES: usize = 2_500;

/// When a request leaves its data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaveRule {
    /// Time that a byte between data centres is worth.
    pub byte_price: Duration,
}

/// A request that may leave its data centre.
#[derive(Clone, Copy, Debug)]
pub struct LeaveRequest {
    /// Bytes of the request's body.
    pub body_bytes: usize,
    /// Time that a round trip to another data centre takes longer.
    pub distance: Duration,
    /// Tokens of the prompt's shared parts.
    pub shared_tokens: u64,
}

/// Why a request left its data centre.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaveReason {
    /// The data centre has no replica that takes the request.
    NoneHere,
    /// The replicas of the data centre have as many requests as they may.
    OwnFull,
    /// The other replica has the prompt cached, or shall have it.
    PromptThere,
}

impl LeaveRule {
    /// Returns whether a request is better served by a replica of its own data centre that has yet to
    /// read its prompt than by one elsewhere that has it cached.
    ///
    /// Leaving costs the longer way, and the bytes at what they are worth; staying costs the time in
    /// which the prompt is read. A long prompt is worth the way, and so is held once for all data
    /// centres; a short one is read where its callers are.
    #[must_use]
    pub fn stays(&self, request: &LeaveRequest) -> bool {
        let reading =
            Duration::from_secs_f64(request.shared_tokens as f64 / TOKENS_PER_MS / 1_000.0);
        let bytes = u32::try_from(request.body_bytes + STREAM_BYTES).unwrap_or(u32::MAX);
        reading <= request.distance + self.byte_price.saturating_mul(bytes)
    }
}
