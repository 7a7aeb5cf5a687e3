//! Input to the placement of a request on an upstream.

use {
    crate::name::UpstreamName,
    serde::{Deserialize, Serialize},
};

/// The parts of a request that placement policies use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceRequest {
    /// Upstreams that already failed this request and are excluded.
    pub avoid: Vec<UpstreamName>,
    /// The upstream in the caller's routing hint.
    pub hint: Option<UpstreamName>,
    /// Affinity key: the same text for all turns of a chat.
    pub key: String,
}
