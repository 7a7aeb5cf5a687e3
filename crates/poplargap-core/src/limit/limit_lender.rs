//! Lending of a data centre's share of one class's limits.

use {
    super::{
        Allowance, LOAN_TTL, LenderHandover, LoanAmount, LoanHolder, LoanOutcome, LoanReply,
        LoanRequest, LoanStamp,
        borrowed_share::{BorrowedShare, ShareDemand},
        complete_from::CompleteFrom,
        loan_record::{LOAN_MARGIN, LoanRecord},
    },
    crate::{
        catalogue::LimitSet,
        collections::HashMap,
        instant::MonotonicInstant,
        name::{ClassName, DataCentre},
    },
    std::time::Duration,
};

/// Time after which all loans of an earlier lender have expired.
pub const TAKEOVER_WAIT: Duration = LOAN_TTL.saturating_add(LOAN_MARGIN);

/// Time for which the share counts as scarce after a loan was smaller than its borrower needed.
const SCARCE_PERIOD: Duration = Duration::from_secs(5);

/// Retry delay of a borrower while its lender borrows from other data centres.
const RETRY_WHILE_BORROWING: Duration = Duration::from_millis(25);

/// Retry delay of a borrower while nothing is available.
const RETRY_WHEN_EXHAUSTED: Duration = Duration::from_millis(200);

/// Time until which a daemon may act as a lender.
///
/// Two daemons of a data centre never have a tenure at the same time: a successor calls
/// [`LimitLender::open`] after its predecessor's tenure has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LenderTenure(MonotonicInstant);

impl LenderTenure {
    /// Creates a tenure that ends at `until`.
    #[must_use]
    pub fn new(until: MonotonicInstant) -> Self {
        Self(until)
    }
}

/// Lends a data centre's share of one class's limits.
///
/// The sum of all usable loans at any moment, and of the usage under them in any window, is at
/// most the share plus what other lenders have lent to this one.
#[derive(Debug)]
pub struct LimitLender {
    borrowed: BorrowedShare,
    class: ClassName,
    holder: LoanHolder,
    complete_from: CompleteFrom,
    limits: LimitSet,
    records: HashMap<LoanHolder, LoanRecord>,
    share: Allowance,
    short_at: Option<MonotonicInstant>,
}

impl LimitLender {
    /// Creates a lender without records of its predecessor's loans.
    ///
    /// `holder` names the daemon as a borrower for its data centre. `since` is the time from which
    /// no other lender can have lent: when the daemon became the class's lender, which may be long
    /// before the class's first request. Until the loans of an earlier lender have expired, this
    /// one only confirms the loans that borrowers report.
    #[must_use]
    pub fn open(class: ClassName, holder: LoanHolder, since: MonotonicInstant) -> Self {
        Self {
            borrowed: BorrowedShare::default(),
            class,
            holder,
            complete_from: CompleteFrom::after_wait(since),
            limits: LimitSet::default(),
            records: HashMap::default(),
            share: Allowance::ZERO,
            short_at: None,
        }
    }

    /// Creates a lender that continues with the loans of a predecessor that has closed.
    #[must_use]
    pub fn continue_from(
        handover: LenderHandover,
        holder: LoanHolder,
        now: MonotonicInstant,
    ) -> Self {
        let records = handover.records.into_iter();
        Self {
            complete_from: handover.unknown.restore(now),
            records: records
                .map(|(holder, record)| (holder, record.restore(now)))
                .collect(),
            ..Self::open(handover.class, holder, now)
        }
    }

    /// Stops lending and returns the state for the successor.
    #[must_use]
    pub fn close(mut self, now: MonotonicInstant) -> LenderHandover {
        self.advance(now);
        let records = self.records.iter();
        LenderHandover {
            records: records
                .map(|(holder, record)| (holder.clone(), record.hand_over(now)))
                .collect(),
            unknown: self.complete_from.hand_over(now),
            class: self.class,
        }
    }

    /// Sets limits, share and the other data centres with a share, in order of preference.
    pub fn set_share(&mut self, limits: LimitSet, share: Allowance, lenders: Vec<DataCentre>) {
        self.limits = limits;
        self.share = share;
        self.borrowed.set_lenders(lenders);
    }

    /// Answers a loan request; refuses it without a tenure or when a later request was answered.
    pub fn answer(
        &mut self,
        request: &LoanRequest,
        tenure: LenderTenure,
        now: MonotonicInstant,
    ) -> LoanReply {
        self.advance(now);
        let last = self.records.get(&request.holder);
        let stale = last.is_some_and(|record| record.sequence >= request.sequence);
        let outcome = if now >= tenure.0 || stale {
            LoanOutcome::Refused
        } else {
            self.lend(request, now)
        };
        LoanReply {
            class: self.class.clone(),
            outcome,
            sequence: request.sequence,
        }
    }

    /// Returns the stamp of `holder`'s loan if the loan can be renewed jointly with others.
    #[must_use]
    pub fn stamp(&self, holder: &LoanHolder, now: MonotonicInstant) -> Option<LoanStamp> {
        let record = self.records.get(holder)?;
        let class = self.class.clone();
        let sequence = record.sequence;
        record
            .is_plain(now)
            .then_some(LoanStamp { class, sequence })
    }

    /// Renews `holder`'s loan and returns whether the share is scarce.
    ///
    /// Call it only with a tenure, and when the digests of the holder's loans match.
    pub fn renew(&mut self, holder: &LoanHolder, now: MonotonicInstant) -> bool {
        if let Some(record) = self.records.get_mut(holder) {
            record.renew(now);
        }
        self.is_scarce(now)
    }

    /// Returns the next request to the class's lender in another data centre, if one is due.
    pub fn ask_remote_lender(
        &mut self,
        now: MonotonicInstant,
    ) -> Option<(DataCentre, LoanRequest)> {
        self.advance(now);
        let demand = self.demand(now);
        self.borrowed.ask(&self.class, &self.holder, demand, now)
    }

    /// Applies the reply of the class's lender in another data centre.
    pub fn accept_remote_reply(&mut self, data_centre: &DataCentre, reply: &LoanReply) {
        self.borrowed.accept(data_centre, reply);
    }

    /// Records that the reply of another data centre to request `sequence` was lost.
    pub fn remote_reply_lost(&mut self, data_centre: &DataCentre, sequence: u64) {
        self.borrowed.lose(data_centre, sequence);
    }

    /// Returns the amount that all holders together may use at `now`.
    #[must_use]
    pub fn lent(&self, now: MonotonicInstant) -> Allowance {
        let records = self.records.values();
        records
            .map(|record| record.count(record.full, now))
            .collect()
    }

    fn advance(&mut self, now: MonotonicInstant) {
        self.records
            .values_mut()
            .for_each(|record| record.advance(now));
        self.records.retain(|_, record| !record.is_over(now));
    }

    fn lend(&mut self, request: &LoanRequest, now: MonotonicInstant) -> LoanOutcome {
        let (amount, backed_until) = self.loan_amount(request, now);
        let last = self.records.get(&request.holder);
        let last_until = last.map_or(now, |record| record.backed_until);
        let record = LoanRecord::answered(request, &amount, last_until.max(backed_until), now);
        self.records.insert(request.holder.clone(), record);
        let short = !amount.total().covers(request.need);
        if short {
            self.short_at = Some(now);
        }
        LoanOutcome::Granted {
            amount,
            ask_again_ms: if short { self.ask_again_ms() } else { 0 },
            backed_for_ms: backed_until.since(now).as_millis() as u32,
            scarce: self.is_scarce(now),
        }
    }

    /// Returns the amount to lend for `request`, and until when its backed part may be used.
    fn loan_amount(
        &self,
        request: &LoanRequest,
        now: MonotonicInstant,
    ) -> (LoanAmount, MonotonicInstant) {
        let held_others = self.held_own(Some(&request.holder));
        let own_others = self.count_others(&request.holder, now, |record| record.own);
        let full_others = self.count_others(&request.holder, now, |record| record.full);
        let share = self.known_share(held_others.plus(request.holding.own), now);
        let taken = self.complete_from.select(own_others, held_others, now);
        let free = share.minus(taken).minus(self.reserved(&request.holder));
        let own = request.want.min(free);
        let (backing, backed_until) = self.backing(&request.holder, now);
        let backed_free = share.plus(backing).minus(full_others).minus(own);
        let backed = request.want.minus(own).min(backed_free).min(backing);
        (LoanAmount { backed, own }, backed_until)
    }

    /// Returns the holders' loans of the own share, without that of `except`.
    fn held_own(&self, except: Option<&LoanHolder>) -> Allowance {
        let records = self.records.iter();
        records
            .filter(|(holder, _)| Some(*holder) != except)
            .map(|(_, record)| record.own)
            .collect()
    }

    fn count_others(
        &self,
        holder: &LoanHolder,
        now: MonotonicInstant,
        part: impl Fn(&LoanRecord) -> Allowance,
    ) -> Allowance {
        let others = self.records.iter().filter(|(name, _)| *name != holder);
        others
            .map(|(_, record)| record.count(part(record), now))
            .collect()
    }

    /// Returns the share, or only `confirmed` of it while earlier loans may be unknown.
    ///
    /// Only loans of the share are confirmed, not recent usage: holders may have made that under
    /// loans of other data centres while unknown holders use the share.
    fn known_share(&self, confirmed: Allowance, now: MonotonicInstant) -> Allowance {
        self.complete_from
            .select(self.share, self.share.min(confirmed), now)
    }

    /// Returns the amount withheld from other data centres for unmet requests of own daemons.
    fn reserved(&self, holder: &LoanHolder) -> Allowance {
        if holder.centre.is_none() {
            return Allowance::ZERO;
        }
        let daemons = self
            .records
            .iter()
            .filter(|(name, _)| name.centre.is_none());
        daemons
            .map(|(_, record)| record.want.minus(record.full))
            .collect()
    }

    /// Returns the borrowed amount that may be lent on, and until when; other lenders get none.
    fn backing(&self, holder: &LoanHolder, now: MonotonicInstant) -> (Allowance, MonotonicInstant) {
        if holder.centre.is_some() {
            return (Allowance::ZERO, now);
        }
        self.borrowed.lendable(now)
    }

    /// Returns what this lender needs beyond its share for its loans and its holders' requests.
    fn demand(&self, now: MonotonicInstant) -> ShareDemand {
        let count = |part: fn(&LoanRecord) -> Allowance| -> Allowance {
            let records = self.records.values();
            records
                .map(|record| record.count(part(record), now))
                .collect()
        };
        let share = self.known_share(self.held_own(None), now);
        let wanted = self.records.iter().map(|(holder, record)| {
            let requested = if holder.centre.is_none() {
                record.want
            } else {
                Allowance::ZERO
            };
            record.count(record.full.max(requested), now)
        });
        let wanted: Allowance = wanted.collect();
        let limits = Allowance::of_limits(&self.limits);
        ShareDemand {
            committed: count(|record| record.full).minus(share),
            wanted: wanted.minus(share).min(limits),
        }
    }

    fn ask_again_ms(&self) -> u32 {
        let wait = if self.borrowed.has_lenders() {
            RETRY_WHILE_BORROWING
        } else {
            RETRY_WHEN_EXHAUSTED
        };
        wait.as_millis() as u32
    }

    /// Returns whether a loan was recently too small or less than a quarter of the share is left.
    fn is_scarce(&self, now: MonotonicInstant) -> bool {
        let short = self
            .short_at
            .is_some_and(|at| now.since(at) < SCARCE_PERIOD);
        let spare = self.share.quarter().bound_by(&self.limits);
        short || !self.share.covers(self.lent(now).plus(spare))
    }
}
