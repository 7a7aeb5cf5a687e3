//! Ends of requests that got no reply, with the time after which a refused caller may return.

use {
    crate::local_answer::{BLOCKED_RETRY_AFTER, OVERLOADED_RETRY_AFTER},
    poplargap_core::forward::{FinalAnswer, ShortRoom},
    rand::Rng,
    std::time::Duration,
};

/// Shortest time over which the returns of refused callers are spread.
const SPREAD_MIN: Duration = Duration::from_millis(300);

/// Longest time over which the returns of refused callers are spread.
const SPREAD_MAX: Duration = Duration::from_secs(5);

/// Part of the time left of a refused caller after which it should have returned.
const RETURN_PARTS: u32 = 3;

/// The end of a request that got no reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayEnd {
    pub(crate) answer: FinalAnswer,
    pub(crate) reason: &'static str,
    /// Time after which a refused caller may retry.
    pub(crate) retry_after: Duration,
}

impl RelayEnd {
    /// Returns the end after a failed attempt.
    pub(crate) fn new(answer: FinalAnswer, reason: &'static str) -> Self {
        Self {
            answer,
            reason,
            retry_after: OVERLOADED_RETRY_AFTER,
        }
    }

    /// Returns the end of a request with a prompt part that crashes replicas.
    pub(crate) fn blocked(answer: FinalAnswer) -> Self {
        Self {
            answer,
            reason: "prompt-crashes-replicas",
            retry_after: BLOCKED_RETRY_AFTER,
        }
    }

    /// Returns the end of a request for which there is no room.
    ///
    /// `expected` is the time of an answer if the request were sent, in which the replicas serve what
    /// they have; `time_left` is the caller's time, of which its return must leave most.
    pub(crate) fn without_room(
        answer: FinalAnswer,
        reason: ShortRoom,
        expected: Duration,
        time_left: Duration,
    ) -> Self {
        let latest = (time_left / RETURN_PARTS).max(SPREAD_MIN);
        Self {
            answer,
            reason: reason.into(),
            retry_after: (expected + random_part(expected)).min(latest),
        }
    }

    /// Returns the end of a request for which no replica is left.
    ///
    /// `refusal` is the time until a replica takes requests again, if all refuse them for a time.
    pub(crate) fn without_replica(answer: FinalAnswer, refusal: Option<Duration>) -> Self {
        let Some(left) = refusal else {
            return Self::new(answer, "no-replica");
        };
        Self {
            answer,
            reason: "replicas-refuse",
            retry_after: left + random_part(left),
        }
    }
}

/// Returns a random part of `left`, so that refused callers don't all return at once.
fn random_part(left: Duration) -> Duration {
    let spread = (left / 2).clamp(SPREAD_MIN, SPREAD_MAX);
    rand::rng().random_range(Duration::ZERO..spread)
}
