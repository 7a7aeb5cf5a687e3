//! Loans that a lender holds from lenders of other data centres.

use {
    super::{
        Allowance, LoanHolder, LoanReply, LoanRequest,
        loan_account::{LoanAccount, LoanDemand},
    },
    crate::{
        instant::MonotonicInstant,
        name::{ClassName, DataCentre},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest time to expiry with which a borrowed loan is lent on.
const LEND_ON_TTL_MIN: Duration = Duration::from_millis(200);

/// Amounts that a lender needs beyond its share.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareDemand {
    /// Part that its outstanding loans already depend on.
    pub committed: Allowance,
    /// Part that its holders request.
    pub wanted: Allowance,
}

/// Loans of one class from other data centres.
#[derive(Debug, Default)]
pub(super) struct BorrowedShare {
    accounts: BTreeMap<DataCentre, LoanAccount>,
    lenders: Vec<DataCentre>,
}

impl BorrowedShare {
    /// Sets the data centres to borrow from, in order of preference.
    pub fn set_lenders(&mut self, lenders: Vec<DataCentre>) {
        self.lenders = lenders;
    }

    /// Returns whether there is a data centre to borrow from.
    pub fn has_lenders(&self) -> bool {
        !self.lenders.is_empty()
    }

    /// Returns the amount that may be lent on, and until when.
    pub fn lendable(&self, now: MonotonicInstant) -> (Allowance, MonotonicInstant) {
        let loans = self
            .accounts
            .values()
            .filter(|account| account.expires() >= now + LEND_ON_TTL_MIN)
            .filter(|account| account.amount(now).own != Allowance::ZERO);
        let until = loans.clone().map(LoanAccount::expires).min();
        let amount = loans.map(|account| account.amount(now).own).collect();
        (amount, until.unwrap_or(now))
    }

    /// Returns the next request that is due, with the data centre to send it to.
    pub fn ask(
        &mut self,
        class: &ClassName,
        holder: &LoanHolder,
        demand: ShareDemand,
        now: MonotonicInstant,
    ) -> Option<(DataCentre, LoanRequest)> {
        let held: Allowance = self.accounts.values().map(|a| a.amount(now).own).collect();
        let missing = demand.wanted.minus(held);
        let lender = self.next_lender(missing, now)?;
        let account = self
            .accounts
            .entry(lender.clone())
            .or_insert_with(LoanAccount::new);
        let others = held.minus(account.amount(now).own);
        let loan_demand = LoanDemand {
            committed: demand.committed.minus(others),
            need: missing,
            used: Allowance::ZERO,
            want: demand.wanted.minus(others),
        };
        let request = account.ask(class, holder, loan_demand, now);
        Some((lender, request))
    }

    /// Applies a lender's reply.
    pub fn accept(&mut self, lender: &DataCentre, reply: &LoanReply) {
        if let Some(account) = self.accounts.get_mut(lender) {
            account.accept(reply);
        }
    }

    /// Records that a lender's reply to request `sequence` was lost.
    pub fn lose(&mut self, lender: &DataCentre, sequence: u64) {
        if let Some(account) = self.accounts.get_mut(lender) {
            account.lose(sequence);
        }
    }

    fn next_lender(&self, missing: Allowance, now: MonotonicInstant) -> Option<DataCentre> {
        let due = self.accounts.iter().find(|(_, account)| {
            let held = account.amount(now).own != Allowance::ZERO;
            let renewal = held && account.is_renewal_due(now) && !account.is_pending(now);
            renewal || account.is_unanswered(now)
        });
        if let Some((lender, _)) = due {
            return Some(lender.clone());
        }
        if missing == Allowance::ZERO {
            return None;
        }
        self.lenders
            .iter()
            .find(|lender| {
                let account = self.accounts.get(*lender);
                account.is_none_or(|account| account.may_ask_more(now))
            })
            .cloned()
    }
}
