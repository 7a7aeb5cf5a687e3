//! Permits that count a request as in flight at an upstream.

use {
    super::{ShardActor, messages::ReleaseWork},
    futures::FutureExt,
    poplargap_core::{name::UpstreamName, shard::ShardId},
    std::fmt::{self, Formatter},
    xtra::WeakAddress,
};

/// How an attempt at an upstream ended, as far as the upstream's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The caller or the daemon cancelled the attempt.
    Abandoned,
    /// The upstream answered.
    Answered,
    /// The upstream was unreachable, closed the connection early or timed out.
    Failed,
    /// The upstream refused the request.
    Refused,
}

/// Counts a request as in flight until it is closed or dropped.
pub struct PlacePermit {
    address: WeakAddress<ShardActor>,
    result: AttemptResult,
    shard: ShardId,
    upstream: UpstreamName,
}

impl PlacePermit {
    pub(super) fn new(
        address: WeakAddress<ShardActor>,
        shard: ShardId,
        upstream: UpstreamName,
    ) -> Self {
        let result = AttemptResult::Abandoned;
        Self {
            address,
            result,
            shard,
            upstream,
        }
    }

    /// Ends the request with the result of the attempt.
    pub fn close(mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Drop for PlacePermit {
    fn drop(&mut self) {
        let message = ReleaseWork {
            result: self.result,
            shard: self.shard.clone(),
            upstream: self.upstream.clone(),
        };
        let sent = self.address.send(message).detach().now_or_never();
        debug_assert!(sent.is_some(), "the shard actor's mailbox is unbounded");
    }
}

impl fmt::Debug for PlacePermit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlacePermit")
            .field("shard", &self.shard)
            .field("upstream", &self.upstream)
            .finish_non_exhaustive()
    }
}
