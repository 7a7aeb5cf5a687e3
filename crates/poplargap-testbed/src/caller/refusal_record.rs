//! Problem documents of refused calls.

use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumIter},
};

/// Whether an upstream executed a refused request.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RanState {
    /// The request was certainly not executed.
    NotRun,
    /// The request was executed.
    Ran,
    /// The request may or may not have been executed.
    Unknown,
}

/// A problem document (RFC 9457) with the extension members `code` and `ran`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalRecord {
    /// Stable code of the kind of refusal, for programs.
    pub code: String,
    /// Human-readable explanation of this refusal.
    #[serde(default)]
    pub detail: String,
    /// Whether the request was executed.
    pub ran: RanState,
    /// HTTP status code; 0 if the document has none.
    #[serde(default)]
    pub status: u16,
    /// Human-readable summary of the kind of refusal.
    #[serde(default)]
    pub title: String,
    /// URI that identifies the kind of refusal.
    #[serde(default, rename = "type")]
    pub kind: String,
}
