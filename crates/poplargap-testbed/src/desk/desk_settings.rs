//! Settings of a desk stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Addresses and service time of one desk stand-in.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Listen address that serves the same paths and isn't affected by connection faults.
    pub control_listen: SocketAddr,
    /// Listen address for calls; connection faults apply to it.
    pub listen: SocketAddr,
    /// Time that each call takes to execute.
    pub service_time: Duration,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service_time: Duration::from_millis(5),
        }
    }
}
