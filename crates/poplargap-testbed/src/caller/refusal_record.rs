//! Refusals as callers get them.

use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumIter},
};

/// Whether a refused request ran on an upstream.
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
    /// It truly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// Nothing is known.
    Unknown,
}

/// A refusal: a problem of RFC 9457 with a code and the state of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalRecord {
    /// Stable code of the refusal.
    pub code: String,
    /// What happened, for people.
    #[serde(default)]
    pub detail: String,
    /// Whether the request ran.
    pub ran: RanState,
    /// HTTP status.
    #[serde(default)]
    pub status: u16,
    /// What kind of refusal it is, for people.
    #[serde(default)]
    pub title: String,
    /// URI of the kind of refusal.
    #[serde(default, rename = "type")]
    pub kind: String,
}
