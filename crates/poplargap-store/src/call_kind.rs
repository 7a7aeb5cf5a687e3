//! Kinds of calls to the platform.

use strum::{EnumIter, IntoStaticStr};

/// Kind of a call to the platform; also its label in metrics.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Reads one value.
    Get,
    /// Requests a lease.
    GrantLease,
    /// Lists the values with a key prefix.
    List,
    /// Renews a lease.
    RenewLease,
    /// Ends a lease.
    RevokeLease,
    /// Compares and swaps a value.
    Swap,
    /// Reads the VM list.
    Vms,
    /// Waits for changes.
    Watch,
}

impl CallKind {
    /// Returns whether the call refers to a lease, which may have ended.
    #[must_use]
    pub fn names_lease(self) -> bool {
        matches!(self, Self::RenewLease | Self::RevokeLease | Self::Swap)
    }
}
