//! State machine for all attempts at one call.

use {
    super::{AttemptEvent, AttemptState, AttemptStep, CallEnd, DiscardReason, RunOutcome},
    crate::name::RequestId,
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
    strum::{Display, IntoStaticStr},
};

/// Sequence number of an attempt at a call, from 0.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptNumber(u32);

/// Whether a call may run more than once.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// The call runs at most once.
    AtMostOnce,
    /// The call may be retried and its answer resumed.
    Repeatable,
}

/// Tracks the attempts at one call and whether the call ran.
///
/// A call of the kind [`CallKind::AtMostOnce`] is sent again only when it certainly didn't run.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    attempt: AttemptNumber,
    earlier_outcome: RunOutcome,
    kind: CallKind,
    next_index: u64,
    request: RequestId,
    state: AttemptState,
}

impl CallAttempts {
    /// Creates the state of a call that was not sent yet.
    #[must_use]
    pub fn new(request: RequestId, kind: CallKind) -> Self {
        Self {
            attempt: AttemptNumber::default(),
            earlier_outcome: RunOutcome::NotRun,
            kind,
            next_index: 0,
            request,
            state: AttemptState::Unsent,
        }
    }

    /// Returns the number of the current attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the state of the current attempt.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns the index of the next event to deliver to the caller.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns whether the call ran, over all attempts.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        if self.next_index > 0 {
            return RunOutcome::Ran;
        }
        match self.state {
            AttemptState::Unsent => self.earlier_outcome,
            AttemptState::Sent | AttemptState::Answering => {
                self.earlier_outcome.max(RunOutcome::Unknown)
            }
            AttemptState::Settled(end) => end.outcome,
        }
    }

    /// Processes an event of an attempt and returns the action that follows.
    ///
    /// Events of earlier attempts are discarded, since two runs of a call may answer differently.
    pub fn handle_event(&mut self, attempt: AttemptNumber, event: &AttemptEvent) -> AttemptStep {
        let ended = matches!(self.state, AttemptState::Settled(_));
        if ended || attempt != self.attempt {
            return AttemptStep::Discard(DiscardReason::Late);
        }
        match event {
            AttemptEvent::AnswerBegan => self.begin_answer(),
            AttemptEvent::ConnectFailed => self.after_connect_failure(),
            AttemptEvent::ConnectionLost => self.after_loss(),
            AttemptEvent::DeadlinePassed => self.give_up(),
            AttemptEvent::Finished { total } => self.finish(*total),
            AttemptEvent::IndexReceived { index, request } => self.receive_index(*index, request),
            AttemptEvent::Sent => self.mark_sent(),
            AttemptEvent::UpstreamRefused => self.after_refusal(),
        }
    }

    /// Ends the call with its current outcome.
    pub fn give_up(&mut self) -> AttemptStep {
        self.settle(false, self.outcome())
    }

    fn mark_sent(&mut self) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            self.state = AttemptState::Sent;
        }
        AttemptStep::Continue
    }

    fn begin_answer(&mut self) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            return AttemptStep::Discard(DiscardReason::Late);
        }
        self.state = AttemptState::Answering;
        AttemptStep::Continue
    }

    fn after_connect_failure(&mut self) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            self.next_attempt()
        } else {
            self.after_loss()
        }
    }

    fn after_refusal(&mut self) -> AttemptStep {
        match self.state {
            AttemptState::Sent if self.next_index > 0 => self.give_up(),
            AttemptState::Sent => {
                self.state = AttemptState::Unsent;
                self.next_attempt()
            }
            _ => self.after_loss(),
        }
    }

    fn after_loss(&mut self) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            return self.next_attempt();
        }
        if self.kind == CallKind::AtMostOnce {
            return self.give_up();
        }
        self.earlier_outcome = self.outcome();
        self.state = AttemptState::Unsent;
        self.next_attempt()
    }

    /// Permits another attempt: the current one certainly didn't run, or the call is repeatable.
    fn next_attempt(&mut self) -> AttemptStep {
        self.attempt.0 += 1;
        match self.next_index {
            0 => AttemptStep::Retry,
            from => AttemptStep::Resume { from },
        }
    }

    fn receive_index(&mut self, index: u64, request: &RequestId) -> AttemptStep {
        if *request != self.request {
            return AttemptStep::Discard(DiscardReason::ForeignRequest);
        }
        if self.state == AttemptState::Unsent {
            return AttemptStep::Discard(DiscardReason::Late);
        }
        self.state = AttemptState::Answering;
        if index < self.next_index {
            return AttemptStep::Discard(DiscardReason::Duplicate);
        }
        if index > self.next_index {
            return self.after_gap();
        }
        self.next_index += 1;
        AttemptStep::Deliver
    }

    /// Handles lost events; a later event or the answer's end proves that the call ran.
    fn after_gap(&mut self) -> AttemptStep {
        self.earlier_outcome = RunOutcome::Ran;
        self.after_loss()
    }

    fn finish(&mut self, total: Option<u64>) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            return AttemptStep::Discard(DiscardReason::Late);
        }
        let total = total.unwrap_or(self.next_index);
        match total.cmp(&self.next_index) {
            Ordering::Greater => self.after_gap(),
            Ordering::Equal => self.settle(true, RunOutcome::Ran),
            Ordering::Less => self.settle(false, RunOutcome::Ran),
        }
    }

    fn settle(&mut self, complete: bool, outcome: RunOutcome) -> AttemptStep {
        let end = CallEnd { complete, outcome };
        self.state = AttemptState::Settled(end);
        AttemptStep::Settle(end)
    }
}
