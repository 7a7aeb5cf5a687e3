//! Settings of placement.

use crate::{input::SectionReader, owner::PolicyKind};

/// How requests find their upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementSection {
    /// Chats whose last replica is remembered.
    pub remembered_chats: usize,
    /// How a request finds its upstream.
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
