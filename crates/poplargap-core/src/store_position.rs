//! Positions in the store's history, which mean something only within one era of the store.

use {
    displaydoc::Display,
    std::{cmp::Ordering, fmt},
};

/// Era of the store: it rises each time the store comes back from a copy.
///
/// What the store acknowledged after the copy was taken is gone in the new era, and its revisions and
/// lease numbers are given out again. A store that names no era is in the first one for ever.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates the era with a number, as the store states it.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the era's number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns the era after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Two positions that can't be compared.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PositionError {
    /// a position of era {held} has no meaning in era {current}
    OtherEra {
        /// Era of the position.
        held: StoreEra,
        /// Era in which it was used.
        current: StoreEra,
    },
}

impl std::error::Error for PositionError {}

/// Revision of the whole store; every change within an era increases it.
///
/// It has no order of its own: [`StoreRevision::compare`] fails for revisions of different eras.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// Creates a revision from the number that the store states in an era.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era of the revision.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number for the wire and for logs; it doesn't say which of two revisions is newer.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Compares two revisions of one era.
    ///
    /// # Errors
    ///
    /// Returns an error if their eras differ.
    pub fn compare(self, other: Self) -> Result<Ordering, PositionError> {
        if self.era == other.era {
            Ok(self.number.cmp(&other.number))
        } else {
            Err(PositionError::OtherEra {
                held: self.era,
                current: other.era,
            })
        }
    }

    /// Returns the later of two revisions: that of the later era, or the higher one of the same era.
    #[must_use]
    pub fn latest(self, other: Self) -> Self {
        let is_later = match self.compare(other) {
            Ok(order) => order == Ordering::Greater,
            Err(PositionError::OtherEra { held, current }) => held > current,
        };
        if is_later { self } else { other }
    }
}

/// Id of a lease, whose number may be given out again in another era.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId {
    era: StoreEra,
    number: u64,
}

impl LeaseId {
    /// Creates an id from the number that the store states in an era.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era in which the lease was granted.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number for the wire and for logs.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }
}
