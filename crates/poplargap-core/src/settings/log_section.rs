//! Settings of log lines.

use {
    super::{LogFormat, LogLevel},
    crate::input::SectionReader,
};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSection {
    /// The lines' format.
    pub format: LogFormat,
    /// The least severe lines that are written.
    pub level: LogLevel,
}

impl LogSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let format = reader.choice("format");
        let level = reader.choice("level");
        Some(Self {
            format: format?,
            level: level?,
        })
    }
}
