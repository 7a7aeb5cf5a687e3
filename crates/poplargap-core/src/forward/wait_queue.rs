use {
    crate::instant::MonotonicInstant,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// A request in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket(u64);

/// What decides the order of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitEntry {
    /// Time of the caller's deadline.
    pub deadline: MonotonicInstant,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until which an answer is in time.
    pub target: MonotonicInstant,
}

/// The requests of one service that wait for room at a daemon.
///
/// Urgent requests come first; among equals those that can still be in time, the one with the least
/// time left first; then the others, by their deadlines.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: BTreeMap<WaitTicket, WaitEntry>,
    next: u64,
}

impl WaitQueue {
    /// Adds a request.
    pub fn join(&mut self, entry: WaitEntry) -> WaitTicket {
        let ticket = WaitTicket(self.next);
        self.next += 1;
        self.entries.insert(ticket, entry);
        ticket
    }

    /// Removes a request that is sent, is refused, or whose caller has left.
    pub fn leave(&mut self, ticket: WaitTicket) {
        self.entries.remove(&ticket);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a waiting request comes before a new one.
    #[must_use]
    pub fn precedes(&self, entry: &WaitEntry, now: MonotonicInstant) -> bool {
        let own = order(entry, now);
        self.entries
            .values()
            .any(|waiting| order(waiting, now) <= own)
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn first(&self, now: MonotonicInstant) -> Option<WaitTicket> {
        let entries = self.entries.iter();
        let first = entries.min_by_key(|(ticket, entry)| (order(entry, now), **ticket));
        first.map(|(ticket, _)| *ticket)
    }
}

fn order(entry: &WaitEntry, now: MonotonicInstant) -> (u8, Reverse<bool>, MonotonicInstant) {
    let is_in_time = entry.target > now;
    let end = if is_in_time {
        entry.target
    } else {
        entry.deadline
    };
    (entry.priority, Reverse(is_in_time), end)
}
