//! Settings of the `limits` section: bounds on callers' requests and connections.

use {
    crate::input::{ByteSize, SectionReader},
    std::time::Duration,
};

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitsSection {
    /// Longest time that a caller may take to send the body of a request.
    pub body_deadline: Duration,
    /// Largest request body.
    pub body_max: ByteSize,
    /// Largest number of concurrent connections from callers.
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
