//! What the choice of an upstream knows of a request.

use {
    crate::name::UpstreamName,
    serde::{Deserialize, Serialize},
};

/// The parts of a request that decide its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceRequest {
    /// Upstreams that already failed this request.
    pub avoid: Vec<UpstreamName>,
    /// The upstream that the caller's routing hint names.
    pub hint: Option<UpstreamName>,
    /// Text that stays the same over the turns of a chat.
    pub key: String,
}
