//! Settings of a desk stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// How one desk stand-in behaves.
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Address of the control paths that no connection fault touches.
    pub control_listen: SocketAddr,
    /// Address for work.
    pub listen: SocketAddr,
    /// Time of each call.
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
