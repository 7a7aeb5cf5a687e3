//! Faults of the stand-in.

use {
    super::call_fate::CallFate,
    poplargap_store::CallKind,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults to switch on; the default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoreFaults {
    /// Time before a call takes effect, in milliseconds.
    ///
    /// A write takes effect even when its caller has gone.
    pub delay_ms: u64,
    /// Whether calls take effect and their connections are cut without an answer.
    pub drop_answer: bool,
    /// Number of next calls, watches aside, whose answers are dropped in that way.
    pub drop_next_answers: u64,
    /// How late the VM list shows changes, in milliseconds.
    pub lag_ms: u64,
    /// Whether calls are refused with 503 and have no effect.
    pub refuse: bool,
    /// Whether the connections open when the faults are set get no further bytes.
    pub silent: bool,
}

impl StoreFaults {
    pub(super) fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms)
    }

    /// Decides one call's fate.
    pub(super) fn decide(&mut self, kind: CallKind) -> CallFate {
        if self.refuse {
            return CallFate::Refuse;
        }
        let drop_next = self.drop_next_answers > 0 && kind != CallKind::Watch;
        if drop_next {
            self.drop_next_answers -= 1;
        }
        CallFate::Apply {
            delay: Duration::from_millis(self.delay_ms),
            drop_answer: self.drop_answer || drop_next,
        }
    }
}
