//! Descriptions of keys, used both to validate files and to generate the documentation.

use {
    super::{ByteSize, render_duration},
    std::time::Duration,
};

/// Value or effect of a key that a file leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDefault {
    /// No value; the text describes the effect of leaving the key out.
    Absent(&'static str),
    /// No value; the key is mandatory.
    Required,
    /// Default value, parsed like a value in the file.
    Text(&'static str),
}

/// Type of a value, with its bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueKind {
    /// An IP address and a port other than 0.
    Address,
    /// IP addresses with ports other than 0, separated by commas.
    AddressList,
    /// A size in bytes, with its unit.
    Bytes {
        /// Largest size.
        max: ByteSize,
        /// Smallest size.
        min: ByteSize,
    },
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// A decimal number.
    Decimal {
        /// Largest number.
        max: u32,
        /// Smallest number.
        min: u32,
    },
    /// A SHA-256 digest in hexadecimal digits.
    Digest,
    /// A duration with its unit.
    Duration {
        /// Longest duration.
        max: Duration,
        /// Shortest duration.
        min: Duration,
    },
    /// An IP address and a port that the daemon listens on; port 0 lets the system choose one.
    Listener,
    /// A name of a daemon, an entry or the like.
    Name,
    /// Names, separated by commas.
    NameList,
    /// A whole number.
    Number {
        /// Largest number.
        max: u64,
        /// Smallest number.
        min: u64,
        /// Unit of the number, such as `requests`.
        unit: &'static str,
    },
    /// A secret, which no finding shows.
    Secret {
        /// Smallest number of characters.
        len_min: usize,
    },
    /// `yes` or `no`.
    YesNo,
}

impl ValueKind {
    /// Returns the bounds as shown in the documentation and in findings.
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

    /// Returns the unit as shown in the documentation and in findings.
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

/// Description of one key of one section.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDescription {
    /// Value or effect if the key is left out.
    pub default: KeyDefault,
    /// Name of the key.
    pub key: &'static str,
    /// Type and bounds of the value.
    pub kind: ValueKind,
    /// Meaning of the key, in one line of the documentation.
    pub meaning: &'static str,
    /// Section heading, or its first word if entries are named in headings.
    pub section: &'static str,
}
