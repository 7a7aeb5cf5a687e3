//! Permission for one request to run under its class's limits.

use {
    super::{LimitActor, messages::ReleasePermit},
    displaydoc::Display,
    futures::FutureExt,
    poplargap_core::{limit::Permit, name::ClassName},
    std::{
        fmt::{self, Formatter},
        time::Duration,
    },
    xtra::WeakAddress,
};

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitRefusal {
    /// the request alone is larger than the class's whole limit
    Oversized,
    /// the class's limit is reached
    Reached {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

impl std::error::Error for LimitRefusal {}

/// Counts a request against its class's limits until the pass is closed or dropped.
///
/// A dropped pass counts the most tokens that the request could have used.
pub struct LimitPass {
    address: WeakAddress<LimitActor>,
    class: ClassName,
    permit: Option<Permit>,
    tokens: u64,
}

impl LimitPass {
    pub(super) fn new(
        address: WeakAddress<LimitActor>,
        class: ClassName,
        permit: Permit,
        tokens: u64,
    ) -> Self {
        let permit = Some(permit);
        Self {
            address,
            class,
            permit,
            tokens,
        }
    }

    /// Ends the request, which used `tokens` prompt and answer tokens.
    pub fn close(mut self, tokens: u64) {
        self.tokens = tokens;
    }
}

impl Drop for LimitPass {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let message = ReleasePermit {
            class: self.class.clone(),
            permit,
            tokens: self.tokens,
        };
        let sent = self.address.send(message).detach().now_or_never();
        debug_assert!(sent.is_some(), "the limit actor's mailbox is unbounded");
    }
}

impl fmt::Debug for LimitPass {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LimitPass")
            .field("class", &self.class)
            .finish_non_exhaustive()
    }
}
