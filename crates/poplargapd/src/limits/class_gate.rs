//! Admission of one class's requests at this daemon.

use {
    super::{AdmitRequest, LimitActor, LimitPass, LimitRefusal},
    poplargap_core::{
        catalogue::LimitSet,
        instant::MonotonicInstant,
        limit::{Admission, LimitBorrower, LoanHolder, LoanRequest},
        name::ClassName,
    },
    std::{collections::VecDeque, time::Duration},
    xtra::WeakAddress,
};

/// Longest wait for a loan before a request is refused.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// Time after which a refused caller may retry when the lender names none.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

struct WaitingRequest {
    message: AdmitRequest,
    until: MonotonicInstant,
}

/// The borrower of one class and the requests that wait for admission, in order of arrival.
pub(super) struct ClassGate {
    pub(super) borrower: LimitBorrower,
    class: ClassName,
    waiting: VecDeque<WaitingRequest>,
}

impl ClassGate {
    pub(super) fn new(class: ClassName, holder: LoanHolder, limits: LimitSet) -> Self {
        let borrower = LimitBorrower::new(class.clone(), holder, limits);
        let waiting = VecDeque::new();
        Self {
            borrower,
            class,
            waiting,
        }
    }

    /// Adds a request to the queue.
    pub(super) fn push(&mut self, message: AdmitRequest, now: MonotonicInstant) {
        let until = message.deadline.min(now + WAIT_MAX);
        self.waiting.push_back(WaitingRequest { message, until });
    }

    /// Admits waiting requests in order, and refuses those that exceed the class's limits by
    /// themselves or have waited too long.
    ///
    /// Returns the loan request that the next one needs.
    pub(super) fn serve(
        &mut self,
        address: &WeakAddress<LimitActor>,
        now: MonotonicInstant,
    ) -> Option<LoanRequest> {
        loop {
            self.waiting
                .retain(|waiting| !waiting.message.reply.is_closed());
            let tokens = self.waiting.front()?.message.tokens;
            let result = match self.borrower.admit(tokens, now) {
                Admission::Ask(request) => return Some(request),
                Admission::Granted(permit) => Ok(LimitPass::new(
                    address.clone(),
                    self.class.clone(),
                    permit,
                    tokens,
                )),
                Admission::Oversized => Err(LimitRefusal::Oversized),
                Admission::Pending => {
                    self.refuse_late(RETRY_AFTER_DEFAULT, now);
                    return None;
                }
                Admission::Refused { retry_after } => {
                    self.refuse_late(retry_after, now);
                    return None;
                }
            };
            if let Some(waiting) = self.waiting.pop_front() {
                // A pass without a receiver releases its permit when it is dropped.
                drop(waiting.message.reply.send(result));
            }
        }
    }

    fn refuse_late(&mut self, retry_after: Duration, now: MonotonicInstant) {
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.until <= now)
        {
            if let Some(waiting) = self.waiting.pop_front() {
                drop(
                    waiting
                        .message
                        .reply
                        .send(Err(LimitRefusal::Reached { retry_after })),
                );
            }
        }
    }
}
