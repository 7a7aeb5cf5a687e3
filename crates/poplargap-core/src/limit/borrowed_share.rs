//! What a lender has borrowed from lenders of other data centres.

use {
    super::{
        Allowance, LoanHolder, LoanReply, LoanRequest,
        loan_account::{LoanAccount, LoanWish},
    },
    crate::{
        instant::MonotonicInstant,
        name::{ClassName, DataCentre},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest rest of a loan that is lent on.
const REST_MIN: Duration = Duration::from_millis(200);

/// What a lender needs beyond its share.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareDemand {
    /// What its loans rely on already.
    pub committed: Allowance,
    /// What its holders ask for.
    pub wanted: Allowance,
}

/// Loans of one class from other data centres.
#[derive(Debug, Default)]
pub(super) struct BorrowedShare {
    accounts: BTreeMap<DataCentre, LoanAccount>,
    lenders: Vec<DataCentre>,
}

impl BorrowedShare {
    /// Sets the data centres to ask, in order.
    pub fn set_lenders(&mut self, lenders: Vec<DataCentre>) {
        self.lenders = lenders;
    }

    /// Returns whether there is anyone to ask.
    pub fn has_lenders(&self) -> bool {
        !self.lenders.is_empty()
    }

    /// Returns what may be lent on, and until when.
    pub fn lendable(&self, now: MonotonicInstant) -> (Allowance, MonotonicInstant) {
        let lasting = self
            .accounts
            .values()
            .filter(|account| account.until() >= now + REST_MIN)
            .filter(|account| account.amount(now).own != Allowance::ZERO);
        let until = lasting.clone().map(LoanAccount::until).min();
        let amount = lasting.map(|account| account.amount(now).own).collect();
        (amount, until.unwrap_or(now))
    }

    /// Returns the next request that is due, with the data centre that it goes to.
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
        let wish = LoanWish {
            committed: demand.committed.minus(others),
            need: missing,
            used: Allowance::ZERO,
            want: demand.wanted.minus(others),
        };
        let request = account.ask(class, holder, wish, now);
        Some((lender, request))
    }

    /// Takes a lender's reply.
    pub fn accept(&mut self, lender: &DataCentre, reply: &LoanReply) {
        if let Some(account) = self.accounts.get_mut(lender) {
            account.accept(reply);
        }
    }

    /// Notes that a lender's reply to request `sequence` won't come.
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
