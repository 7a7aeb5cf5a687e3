//! Faults that the stand-in injects.

use {
    super::call_effect::CallEffect,
    poplargap_store::CallKind,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Active faults; the default is none.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoreFaults {
    /// Time before a call takes effect, in milliseconds.
    ///
    /// A write takes effect even when its caller has disconnected.
    pub delay_ms: u64,
    /// Whether calls take effect but their connections are reset without an answer.
    pub drop_answer: bool,
    /// Number of following calls, other than watches, whose answers are dropped in the same way.
    pub drop_next_answers: u64,
    /// Delay after which the VM list shows a change, in milliseconds.
    pub lag_ms: u64,
    /// Whether reads that may be stale find nothing.
    pub old_copies: bool,
    /// Whether calls are refused with 503 and have no effect.
    pub refuse: bool,
    /// Whether connections that are open when the faults are set receive no further bytes.
    pub silent: bool,
}

impl StoreFaults {
    pub(super) fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms)
    }

    /// Returns the effect of the faults on one call and counts down `drop_next_answers`.
    pub(super) fn apply_to(&mut self, kind: CallKind) -> CallEffect {
        if self.refuse {
            return CallEffect::Refuse;
        }
        let drop_next = self.drop_next_answers > 0 && kind != CallKind::Watch;
        if drop_next {
            self.drop_next_answers -= 1;
        }
        CallEffect::Apply {
            delay: Duration::from_millis(self.delay_ms),
            drop_answer: self.drop_answer || drop_next,
        }
    }
}
