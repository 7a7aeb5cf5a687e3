//! Settings of the `log` section: format and level of log lines.

use {
    super::{LogFormat, LogLevel},
    crate::input::SectionReader,
};

/// Format and level of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSection {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest severity that is written.
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
