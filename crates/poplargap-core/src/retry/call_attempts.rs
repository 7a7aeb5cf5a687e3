//! All attempts at one call.

use {
    super::{AttemptEvent, AttemptState, AttemptStep, CallEnd, DiscardReason, RunOutcome},
    crate::name::RequestId,
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
    strum::{Display, IntoStaticStr},
};

/// Number of an attempt at a call, from 0.
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

/// The attempts at one call and what they prove.
///
/// A call that may not be repeated is sent again only after proof that nothing ran.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    attempt: AttemptNumber,
    earlier: RunOutcome,
    kind: CallKind,
    next_index: u64,
    request: RequestId,
    state: AttemptState,
}

impl CallAttempts {
    /// Creates a call of which nothing was sent.
    #[must_use]
    pub fn new(request: RequestId, kind: CallKind) -> Self {
        Self {
            attempt: AttemptNumber::default(),
            earlier: RunOutcome::NotRun,
            kind,
            next_index: 0,
            request,
            state: AttemptState::Unsent,
        }
    }

    /// Returns the number of the present attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns how far the present attempt has come.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns the index that the caller needs next.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns what is true about the call over all attempts.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        if self.next_index > 0 {
            return RunOutcome::Ran;
        }
        match self.state {
            AttemptState::Unsent => self.earlier,
            AttemptState::Sent | AttemptState::Answering => self.earlier.max(RunOutcome::Unknown),
            AttemptState::Settled(end) => end.outcome,
        }
    }

    /// Takes an event of an attempt and decides what follows.
    ///
    /// Events of earlier attempts are dropped: two runs of a call may answer differently.
    pub fn on(&mut self, attempt: AttemptNumber, event: &AttemptEvent) -> AttemptStep {
        let over = matches!(self.state, AttemptState::Settled(_));
        if over || attempt != self.attempt {
            return AttemptStep::Discard(DiscardReason::Late);
        }
        match event {
            AttemptEvent::AnswerBegan => self.begin_answer(),
            AttemptEvent::ConnectFailed => self.after_connect_failure(),
            AttemptEvent::ConnectionLost => self.after_loss(),
            AttemptEvent::DeadlinePassed => self.give_up(),
            AttemptEvent::Finished { total } => self.finish(*total),
            AttemptEvent::IndexReceived { index, request } => self.take_index(*index, request),
            AttemptEvent::Sent => self.mark_sent(),
            AttemptEvent::UpstreamRefused => self.after_refusal(),
        }
    }

    /// Ends the call where it stands.
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
            self.again()
        } else {
            self.after_loss()
        }
    }

    fn after_refusal(&mut self) -> AttemptStep {
        match self.state {
            AttemptState::Sent if self.next_index > 0 => self.give_up(),
            AttemptState::Sent => {
                self.state = AttemptState::Unsent;
                self.again()
            }
            _ => self.after_loss(),
        }
    }

    fn after_loss(&mut self) -> AttemptStep {
        if self.state == AttemptState::Unsent {
            return self.again();
        }
        if self.kind == CallKind::AtMostOnce {
            return self.give_up();
        }
        self.earlier = self.outcome();
        self.state = AttemptState::Unsent;
        self.again()
    }

    /// Permits another attempt; the present one left nothing behind or may be repeated.
    fn again(&mut self) -> AttemptStep {
        self.attempt.0 += 1;
        match self.next_index {
            0 => AttemptStep::Retry,
            from => AttemptStep::Resume { from },
        }
    }

    fn take_index(&mut self, index: u64, request: &RequestId) -> AttemptStep {
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

    /// Events were lost; one that arrived proves that the call ran.
    fn after_gap(&mut self) -> AttemptStep {
        self.earlier = RunOutcome::Ran;
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
