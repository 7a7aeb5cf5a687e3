//! Judges calls by what their callers saw and by the faults at that time.

use {
    super::{CallWork, FaultKind, FaultWindow, SoakCall, Violation, ViolationKind},
    crate::{caller::CallVerdict, desk::BookingAnswer},
    poplargap_core::collections::{HashMap, HashMapExt},
    std::time::Duration,
};

/// Longest time between two tokens after a fault that streams survive.
const GAP_MAX: Duration = Duration::from_secs(2);

/// Time after a fault in which its effects last.
const RECOVERY: Duration = Duration::from_secs(5);

/// Judges all calls of a run.
#[derive(Debug)]
pub(super) struct CallCheck<'a> {
    pub(super) calls: &'a [SoakCall],
    pub(super) windows: &'a [FaultWindow],
}

impl CallCheck<'_> {
    /// Returns everything that callers must not see.
    pub(super) fn violations(&self) -> Vec<Violation> {
        let keys = self.ids_by_key();
        let mut violations: Vec<Violation> = self
            .calls
            .iter()
            .filter_map(|call| self.judge(call, &keys))
            .collect();
        violations.extend(self.differing_replays());
        violations
    }

    fn judge(&self, call: &SoakCall, keys: &HashMap<&str, Vec<&str>>) -> Option<Violation> {
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
            CallVerdict::Broken { detail } if !self.entry_was_hit(call) => {
                found(ViolationKind::BrokenAnswer, detail)
            }
            CallVerdict::Unreachable { detail } if !self.entry_was_down(call) => {
                found(ViolationKind::Unreachable, detail)
            }
            CallVerdict::Refused(refusal)
                if call.is_repeatable() && self.kinds(call).all(FaultKind::spares_repeatable) =>
            {
                let detail = format!("{} ({}): {}", refusal.code, refusal.ran, refusal.detail);
                found(ViolationKind::RepeatableLost, &detail)
            }
            CallVerdict::Complete
                if call.gap.is_some_and(|gap| gap > GAP_MAX)
                    && self.kinds(call).all(FaultKind::spares_streams) =>
            {
                found(ViolationKind::RecoverySlow, &format!("gap {:?}", call.gap))
            }
            _ => None,
        }
    }

    /// Returns the kinds of the faults that a call met.
    fn kinds(&self, call: &SoakCall) -> impl Iterator<Item = FaultKind> {
        self.windows
            .iter()
            .filter(|window| window.meets(call.began, call.ended, RECOVERY))
            .map(|window| window.kind)
    }

    /// Returns whether the daemon that the caller asked was killed or paused meanwhile.
    fn entry_was_hit(&self, call: &SoakCall) -> bool {
        self.windows.iter().any(|window| {
            matches!(window.kind, FaultKind::DaemonKill | FaultKind::DaemonPause)
                && window.daemon == Some(call.daemon)
                && window.meets(call.began, call.ended, Duration::ZERO)
        })
    }

    /// Returns whether the daemon that the caller asked was not there meanwhile.
    fn entry_was_down(&self, call: &SoakCall) -> bool {
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
            down && hit && window.meets(call.began, call.ended, RECOVERY)
        })
    }

    /// Returns the requests' names of each booking.
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

/// Returns whether a booking got the answer to another send of the same booking.
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
