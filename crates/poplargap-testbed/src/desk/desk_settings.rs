//! Settings of a desk stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// How one desk stand-in behaves.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time of each call.
    pub service_time: Duration,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service_time: Duration::from_millis(5),
        }
    }
}
