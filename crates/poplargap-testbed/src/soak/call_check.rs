//! Checks the outcomes of calls against the faults that were active during them.

use {
    super::{CallWork, FaultKind, FaultWindow, SoakCall, Violation, ViolationKind},
    crate::{caller::CallVerdict, desk::BookingAnswer},
    poplargap_core::collections::{HashMap, HashMapExt},
    std::time::Duration,
};

/// Longest allowed time between two tokens of a stream, unless a fault may interrupt streams.
const GAP_MAX: Duration = Duration::from_secs(2);

/// Time after the end of a fault during which calls may still be affected by it.
const RECOVERY: Duration = Duration::from_secs(5);

/// Check of all calls of a run.
#[derive(Debug)]
pub(super) struct CallCheck<'a> {
    pub(super) calls: &'a [SoakCall],
    pub(super) windows: &'a [FaultWindow],
}

impl CallCheck<'_> {
    /// Returns the violations that callers observed.
    pub(super) fn violations(&self) -> Vec<Violation> {
        let keys = self.ids_by_key();
        let mut violations: Vec<Violation> = self
            .calls
            .iter()
            .filter_map(|call| self.check_call(call, &keys))
            .collect();
        violations.extend(self.differing_replays());
        violations
    }

    fn check_call(&self, call: &SoakCall, keys: &HashMap<&str, Vec<&str>>) -> Option<Violation> {
        let found = |kind, detail: &str| {
            let kinds: Vec<String> = self.kinds(call).map(|kind| kind.to_string()).collect();
            let detail = format!(
                "{} at daemon {} from {:.2} s to {:.2} s, {detail}; faults: {}",
                call.request_id,
                call.daemon,
                call.began.as_secs_f64(),
                call.ended.as_secs_f64(),
                kinds.join(", ")
            );
            let at = call.ended;
            Some(Violation { at, detail, kind })
        };
        match &call.verdict {
            CallVerdict::Foreign { detail } if !is_replay(call, keys) => {
                found(ViolationKind::ForeignAnswer, detail)
            }
            CallVerdict::Broken { detail } if !self.was_daemon_interrupted(call) => {
                found(ViolationKind::BrokenAnswer, detail)
            }
            CallVerdict::Unreachable { detail } if !self.was_daemon_unavailable(call) => {
                found(ViolationKind::Unreachable, detail)
            }
            CallVerdict::Refused(refusal)
                if call.is_repeatable()
                    && self.kinds(call).all(FaultKind::requires_repeatable_service) =>
            {
                let detail = format!("{} ({}): {}", refusal.code, refusal.ran, refusal.detail);
                found(ViolationKind::RepeatableLost, &detail)
            }
            CallVerdict::Complete
                if call.gap.is_some_and(|gap| gap > GAP_MAX)
                    && self.kinds(call).all(FaultKind::requires_stream_continuity) =>
            {
                found(ViolationKind::RecoverySlow, &format!("gap {:?}", call.gap))
            }
            _ => None,
        }
    }

    /// Returns the kinds of the faults whose windows, with the recovery time, overlap a call.
    fn kinds(&self, call: &SoakCall) -> impl Iterator<Item = FaultKind> {
        self.windows
            .iter()
            .filter(|window| window.overlaps(call.began, call.ended, RECOVERY))
            .map(|window| window.kind)
    }

    /// Returns whether the daemon that received the call was killed or paused during it.
    fn was_daemon_interrupted(&self, call: &SoakCall) -> bool {
        self.windows.iter().any(|window| {
            matches!(window.kind, FaultKind::DaemonKill | FaultKind::DaemonPause)
                && window.daemon == Some(call.daemon)
                && window.overlaps(call.began, call.ended, Duration::ZERO)
        })
    }

    /// Returns whether the daemon that received the call was unavailable during it: killed, paused
    /// or restarting, with the recovery time.
    fn was_daemon_unavailable(&self, call: &SoakCall) -> bool {
        self.windows.iter().any(|window| {
            let down = matches!(
                window.kind,
                FaultKind::DaemonKill
                    | FaultKind::DaemonPause
                    | FaultKind::GracefulRestart
                    | FaultKind::RollingRestart
            );
            let hit =
                window.daemon == Some(call.daemon) || window.kind == FaultKind::RollingRestart;
            down && hit && window.overlaps(call.began, call.ended, RECOVERY)
        })
    }

    /// Returns the request ids of each booking by its idempotency key.
    fn ids_by_key(&self) -> HashMap<&str, Vec<&str>> {
        let mut keys: HashMap<&str, Vec<&str>> = HashMap::new();
        for call in self.calls {
            if let CallWork::Booking { key } = &call.work {
                keys.entry(key).or_default().push(&call.request_id);
            }
        }
        keys
    }

    fn differing_replays(&self) -> Vec<Violation> {
        let mut answers: HashMap<&str, &BookingAnswer> = HashMap::new();
        let mut violations = Vec::new();
        for call in self.calls {
            let (CallWork::Booking { key }, Some(answer)) = (&call.work, &call.answer) else {
                continue;
            };
            let first = *answers.entry(key).or_insert(answer);
            if first != answer {
                violations.push(Violation {
                    at: call.ended,
                    detail: format!("{key}: {first:?} and {answer:?}"),
                    kind: ViolationKind::ReplayDiffers,
                });
            }
        }
        violations
    }
}

/// Returns whether a booking got the answer to a request with the same idempotency key.
fn is_replay(call: &SoakCall, keys: &HashMap<&str, Vec<&str>>) -> bool {
    let (CallWork::Booking { key }, Some(answer)) = (&call.work, &call.answer) else {
        return false;
    };
    let sends = keys.get(key.as_str()).map_or(&[][..], Vec::as_slice);
    answer
        .request_id
        .as_deref()
        .is_some_and(|id| sends.contains(&id))
}
