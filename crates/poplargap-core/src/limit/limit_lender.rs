//! The lender of one class's limits in a data centre.

use {
    super::{
        Allowance, LOAN_TTL, LenderHandover, LoanAmount, LoanHolder, LoanOutcome, LoanReply,
        LoanRequest, LoanStamp,
        borrowed_share::{BorrowedShare, ShareDemand},
        known_from::KnownFrom,
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

/// Time after which all loans of an earlier lender have ended.
pub const TAKEOVER_WAIT: Duration = LOAN_TTL.saturating_add(LOAN_MARGIN);

/// Time for which the daemons of a data centre keep to their use after one went short.
const SCARCE_PERIOD: Duration = Duration::from_secs(5);

/// Wait of a borrower while its lender asks other data centres.
const ASK_AGAIN_ELSEWHERE: Duration = Duration::from_millis(25);

/// Wait of a borrower while nothing is free.
const ASK_AGAIN_SHORT: Duration = Duration::from_millis(200);

/// Time until which a daemon may act as lender.
///
/// Two daemons of a data centre never have a tenure at the same time; a successor's
/// [`LimitLender::open`] comes after the end of its predecessor's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LenderTenure(MonotonicInstant);

impl LenderTenure {
    /// Creates a tenure that ends at `until`.
    #[must_use]
    pub fn new(until: MonotonicInstant) -> Self {
        Self(until)
    }
}

/// Lends a data centre's share of one class.
///
/// At any moment the loans that may still be used, and in any window the uses made under them,
/// add up to no more than the share and what other lenders have lent to this one.
#[derive(Debug)]
pub struct LimitLender {
    borrowed: BorrowedShare,
    class: ClassName,
    holder: LoanHolder,
    known: KnownFrom,
    limits: LimitSet,
    records: HashMap<LoanHolder, LoanRecord>,
    share: Allowance,
    short_at: Option<MonotonicInstant>,
}

impl LimitLender {
    /// Creates a lender that knows nothing of its predecessor's loans.
    ///
    /// `holder` names the daemon as a borrower for its data centre. `since` is the time from which
    /// no other lender can have lent: when the daemon took the class's place as lender, which may be
    /// long before the class's first request. Until the loans of an earlier lender have ended the
    /// lender only confirms what borrowers say that they hold.
    #[must_use]
    pub fn open(class: ClassName, holder: LoanHolder, since: MonotonicInstant) -> Self {
        Self {
            borrowed: BorrowedShare::default(),
            class,
            holder,
            known: KnownFrom::after_wait(since),
            limits: LimitSet::default(),
            records: HashMap::default(),
            share: Allowance::ZERO,
            short_at: None,
        }
    }

    /// Creates a lender that goes on with the loans of a predecessor that has closed.
    #[must_use]
    pub fn continue_from(
        handover: LenderHandover,
        holder: LoanHolder,
        now: MonotonicInstant,
    ) -> Self {
        let records = handover.records.into_iter();
        Self {
            known: handover.unknown.arrive(now),
            records: records
                .map(|(holder, record)| (holder, record.arrive(now)))
                .collect(),
            ..Self::open(handover.class, holder, now)
        }
    }

    /// Stops lending and returns what the successor has to know.
    #[must_use]
    pub fn close(mut self, now: MonotonicInstant) -> LenderHandover {
        self.advance(now);
        let records = self.records.iter();
        LenderHandover {
            records: records
                .map(|(holder, record)| (holder.clone(), record.depart(now)))
                .collect(),
            unknown: self.known.depart(now),
            class: self.class,
        }
    }

    /// Changes limits, share and the data centres that have a share, in order of preference.
    pub fn set_share(&mut self, limits: LimitSet, share: Allowance, lenders: Vec<DataCentre>) {
        self.limits = limits;
        self.share = share;
        self.borrowed.set_lenders(lenders);
    }

    /// Answers a borrower.
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

    /// Returns the stamp of `holder`'s loan, when it can be renewed together with others.
    #[must_use]
    pub fn stamp(&self, holder: &LoanHolder, now: MonotonicInstant) -> Option<LoanStamp> {
        let record = self.records.get(holder)?;
        let class = self.class.clone();
        let sequence = record.sequence;
        record
            .is_plain(now)
            .then_some(LoanStamp { class, sequence })
    }

    /// Renews `holder`'s loan after its stamps were found equal, and returns whether it is scarce.
    ///
    /// Without a tenure nothing may be renewed.
    pub fn renew(&mut self, holder: &LoanHolder, now: MonotonicInstant) -> bool {
        if let Some(record) = self.records.get_mut(holder) {
            record.renew(now);
        }
        self.is_scarce(now)
    }

    /// Returns the next request to the class's lender in another data centre, when one is due.
    pub fn ask_remote_lender(
        &mut self,
        now: MonotonicInstant,
    ) -> Option<(DataCentre, LoanRequest)> {
        self.advance(now);
        let demand = self.demand(now);
        self.borrowed.ask(&self.class, &self.holder, demand, now)
    }

    /// Takes the reply of the class's lender in another data centre.
    pub fn accept_remote_reply(&mut self, lender: &DataCentre, reply: &LoanReply) {
        self.borrowed.accept(lender, reply);
    }

    /// Notes that the reply to request `sequence` to another data centre won't come.
    pub fn remote_reply_lost(&mut self, lender: &DataCentre, sequence: u64) {
        self.borrowed.lose(lender, sequence);
    }

    /// Returns what all holders together may use at `now`.
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

    /// Returns what can be lent, and until when the backed part may be used.
    fn loan_amount(
        &self,
        request: &LoanRequest,
        now: MonotonicInstant,
    ) -> (LoanAmount, MonotonicInstant) {
        let held_others = self.held_own(Some(&request.holder));
        let own_others = self.count_others(&request.holder, now, |record| record.own);
        let full_others = self.count_others(&request.holder, now, |record| record.full);
        let share = self.known_share(held_others.plus(request.holding.own), now);
        let taken = self.known.select(own_others, held_others, now);
        let free = share.minus(taken).minus(self.reserved(&request.holder));
        let own = request.want.min(free);
        let (backing, backed_until) = self.backing(&request.holder, now);
        let backed_free = share.plus(backing).minus(full_others).minus(own);
        let backed = request.want.minus(own).min(backed_free).min(backing);
        (LoanAmount { backed, own }, backed_until)
    }

    /// Returns what the holders have of the share itself, without `except`.
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

    /// Returns the share, or `confirmed` of it where earlier loans may be unknown.
    ///
    /// Only what holders have of the share is confirmed: their recent uses may have been made
    /// under loans of other data centres, while unknown holders use the share.
    fn known_share(&self, confirmed: Allowance, now: MonotonicInstant) -> Allowance {
        self.known
            .select(self.share, self.share.min(confirmed), now)
    }

    /// Returns what is kept from other data centres for daemons that went short here.
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

    /// Returns what may be lent on and until when; what is borrowed isn't lent to other lenders.
    fn backing(&self, holder: &LoanHolder, now: MonotonicInstant) -> (Allowance, MonotonicInstant) {
        if holder.centre.is_some() {
            return (Allowance::ZERO, now);
        }
        self.borrowed.lendable(now)
    }

    /// Returns what this lender's loans rely on and its holders ask for beyond its share.
    fn demand(&self, now: MonotonicInstant) -> ShareDemand {
        let count = |part: fn(&LoanRecord) -> Allowance| -> Allowance {
            let records = self.records.values();
            records
                .map(|record| record.count(part(record), now))
                .collect()
        };
        let share = self.known_share(self.held_own(None), now);
        let wanted = self.records.iter().map(|(holder, record)| {
            let asked = if holder.centre.is_none() {
                record.want
            } else {
                Allowance::ZERO
            };
            record.count(record.full.max(asked), now)
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
            ASK_AGAIN_ELSEWHERE
        } else {
            ASK_AGAIN_SHORT
        };
        wait.as_millis() as u32
    }

    /// Returns whether a holder went short lately or less than a quarter is left to lend.
    fn is_scarce(&self, now: MonotonicInstant) -> bool {
        let short = self
            .short_at
            .is_some_and(|at| now.since(at) < SCARCE_PERIOD);
        let spare = self.share.quarter().bound_by(&self.limits);
        short || !self.share.covers(self.lent(now).plus(spare))
    }
}
