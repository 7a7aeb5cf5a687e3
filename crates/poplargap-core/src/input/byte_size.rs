//! Sizes in bytes, written with a binary unit such as `4MiB`.

use {
    displaydoc::Display,
    std::{
        fmt::{self, Formatter},
        str::FromStr,
    },
};

/// Units and their sizes in bytes, largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Error of parsing a [`ByteSize`].
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ByteSizeError {
    /// `{text}` is no size; write a whole number with its unit, such as `512KiB` or `4MiB`
    Malformed {
        /// The rejected text.
        text: String,
    },
    /// `{text}` has no unit; write `{text}B`, `{text}KiB` or `{text}MiB`
    NoUnit {
        /// The rejected text.
        text: String,
    },
    /// `{text}` is too large
    TooLarge {
        /// The rejected text.
        text: String,
    },
}

impl std::error::Error for ByteSizeError {}

/// A number of bytes, displayed in its largest whole unit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (unit, factor) = UNITS
            .into_iter()
            .find(|(_, factor)| self.0 >= *factor && self.0.is_multiple_of(*factor))
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    fn from_str(text: &str) -> Result<Self, ByteSizeError> {
        let text = text.trim();
        let digits_len = text.bytes().take_while(u8::is_ascii_digit).count();
        let (digits, unit) = text.split_at(digits_len);
        let text = || text.to_owned();
        if digits.is_empty() {
            return Err(ByteSizeError::Malformed { text: text() });
        }
        if unit.is_empty() {
            return Err(ByteSizeError::NoUnit { text: text() });
        }
        let Some((_, factor)) = UNITS.into_iter().find(|(name, _)| *name == unit) else {
            return Err(ByteSizeError::Malformed { text: text() });
        };
        digits
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(factor))
            .map(Self)
            .ok_or_else(|| ByteSizeError::TooLarge { text: text() })
    }
}
