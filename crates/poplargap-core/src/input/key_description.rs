//! What operators may write for one key: the source of checks and pages alike.

use {
    super::{ByteSize, render_duration},
    std::time::Duration,
};

/// What stands for a key that a file leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDefault {
    /// Nothing: the key may be absent, with the effect told here.
    Absent(&'static str),
    /// Nothing: the key must be written.
    Required,
    /// This text, read like one from the file.
    Text(&'static str),
}

/// What kind of value a key takes, with its bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueKind {
    /// An IP address and a port from 1.
    Address,
    /// Several of these, separated by commas.
    AddressList,
    /// A size with its unit.
    Bytes {
        /// Largest size.
        max: ByteSize,
        /// Smallest size.
        min: ByteSize,
    },
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A decimal number.
    Decimal {
        /// Largest number.
        max: u32,
        /// Smallest number.
        min: u32,
    },
    /// SHA-256 as hexadecimal digits.
    Digest,
    /// A duration with its unit.
    Duration {
        /// Longest duration.
        max: Duration,
        /// Shortest duration.
        min: Duration,
    },
    /// An IP address and a port that the daemon listens on; 0 lets the system choose the port.
    Listener,
    /// A checked name.
    Name,
    /// Several names, separated by commas.
    NameList,
    /// A whole number.
    Number {
        /// Largest number.
        max: u64,
        /// Smallest number.
        min: u64,
        /// What is counted.
        unit: &'static str,
    },
    /// A secret that is never printed.
    Secret {
        /// Fewest characters.
        len_min: usize,
    },
    /// `yes` or `no`.
    YesNo,
}

impl ValueKind {
    /// Returns the bounds as the pages name them.
    #[must_use]
    pub fn bounds(&self) -> String {
        match self {
            Self::Address | Self::AddressList => "port 1 to 65535".to_owned(),
            Self::Bytes { max, min } => format!("{min} to {max}"),
            Self::Choice(words) => words.join(", "),
            Self::Decimal { max, min } => format!("{min} to {max}"),
            Self::Digest => "64 digits".to_owned(),
            Self::Duration { max, min } => {
                format!("{} to {}", render_duration(*min), render_duration(*max))
            }
            Self::Listener => "port 0 to 65535".to_owned(),
            Self::Name | Self::NameList => "1 to 128 bytes".to_owned(),
            Self::Number { max, min, .. } => format!("{min} to {max}"),
            Self::Secret { len_min } => format!("at least {len_min} characters"),
            Self::YesNo => "yes, no".to_owned(),
        }
    }

    /// Returns the unit as the pages name it.
    #[must_use]
    pub fn unit(&self) -> &'static str {
        match self {
            Self::Address | Self::Listener => "IP address and port",
            Self::AddressList => "IP addresses and ports, separated by commas",
            Self::Bytes { .. } => "bytes (`B`, `KiB`, `MiB`, `GiB`)",
            Self::Choice(_) | Self::YesNo => "word",
            Self::Decimal { .. } => "decimal number",
            Self::Digest => "hexadecimal digits",
            Self::Duration { .. } => "duration (`ms`, `s`, `m`, `h`)",
            Self::Name => "name",
            Self::NameList => "names, separated by commas",
            Self::Number { unit, .. } => unit,
            Self::Secret { .. } => "secret text",
        }
    }
}

/// One key of one section.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDescription {
    /// What stands for the key when it is left out.
    pub default: KeyDefault,
    /// The key.
    pub key: &'static str,
    /// What a value may be.
    pub kind: ValueKind,
    /// What the key means, in one line.
    pub meaning: &'static str,
    /// The section, or the first word of its heading.
    pub section: &'static str,
}
