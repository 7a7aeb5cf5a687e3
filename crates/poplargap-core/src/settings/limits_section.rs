//! Settings that limit what callers send.

use {
    crate::input::{ByteSize, SectionReader},
    std::time::Duration,
};

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitsSection {
    /// Longest time in which a caller sends its request's body.
    pub body_deadline: Duration,
    /// Largest body of a caller's request.
    pub body_max: ByteSize,
    /// Most connections of callers at once.
    pub callers_max: usize,
}

impl LimitsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let body_deadline = reader.duration("body-deadline");
        let body_max = reader.bytes("body-max");
        let callers_max = reader.number("callers-max");
        Some(Self {
            body_deadline: body_deadline?,
            body_max: body_max?,
            callers_max: callers_max?,
        })
    }
}
