//! Settings of the `placement` section: placement of requests on upstreams.

use crate::{input::SectionReader, owner::PolicyKind};

/// Placement of requests on upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementSection {
    /// Number of chats whose last replica is kept in memory.
    pub remembered_chats: usize,
    /// Policy that selects the upstream of a request.
    pub policy: PolicyKind,
}

impl PlacementSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let remembered_chats = reader.number("memory");
        let policy = reader.choice("policy");
        Some(Self {
            remembered_chats: remembered_chats?,
            policy: policy?,
        })
    }
}
