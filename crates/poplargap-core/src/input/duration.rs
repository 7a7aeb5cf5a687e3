//! Durations, written with a unit such as `250ms`.

use {displaydoc::Display, std::time::Duration};

/// Units and their lengths in milliseconds, longest first.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Error of parsing a duration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DurationError {
    /// `{text}` is no duration; write a whole number with its unit, such as `250ms`, `5s`, `2m` or `1h`
    Malformed {
        /// The rejected text.
        text: String,
    },
    /// `{text}` has no unit; write `{text}ms`, `{text}s`, `{text}m` or `{text}h`
    NoUnit {
        /// The rejected text.
        text: String,
    },
    /// `{text}` is too long
    TooLong {
        /// The rejected text.
        text: String,
    },
}

impl std::error::Error for DurationError {}

/// Parses a whole number with the unit `ms`, `s`, `m` or `h`.
///
/// # Errors
///
/// Returns an error if the number or the unit is missing, the unit is unknown, or the duration
/// overflows.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let text = text.trim();
    let digits_len = text.bytes().take_while(u8::is_ascii_digit).count();
    let (digits, unit) = text.split_at(digits_len);
    let text = || text.to_owned();
    if digits.is_empty() {
        return Err(DurationError::Malformed { text: text() });
    }
    if unit.is_empty() {
        return Err(DurationError::NoUnit { text: text() });
    }
    let Some((_, factor)) = UNITS.into_iter().find(|(name, _)| *name == unit) else {
        return Err(DurationError::Malformed { text: text() });
    };
    digits
        .parse::<u64>()
        .ok()
        .and_then(|number| number.checked_mul(factor))
        .map(Duration::from_millis)
        .ok_or_else(|| DurationError::TooLong { text: text() })
}

/// Renders a duration in its largest whole unit, truncated to milliseconds.
#[must_use]
pub fn render_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (unit, factor) = UNITS
        .into_iter()
        .find(|(_, factor)| millis >= *factor && millis.is_multiple_of(*factor))
        .unwrap_or(("ms", 1));
    format!("{}{unit}", millis / factor)
}
