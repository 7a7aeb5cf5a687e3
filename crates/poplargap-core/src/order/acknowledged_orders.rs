//! Acknowledged orders, as stored for the next holder of the lease.

use {
    super::OrderStep,
    crate::name::UpstreamName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Orders that one engine acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AcknowledgedOrders {
    /// Address of the engine that acknowledged them.
    pub address: SocketAddr,
    /// Fencing number of the last acknowledged order.
    pub fence: u64,
    /// The orders, in the sequence in which they were carried out.
    pub steps: Vec<OrderStep>,
}

/// The acknowledged orders of one data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AcknowledgedRecord {
    /// Fencing number of the holder that wrote the record.
    pub fence: u64,
    /// Engines by name.
    pub upstreams: BTreeMap<UpstreamName, AcknowledgedOrders>,
}
