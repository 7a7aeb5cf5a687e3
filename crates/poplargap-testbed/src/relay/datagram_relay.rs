//! A running relay of datagrams.

use {
    super::{LinkFaults, RelayControl, datagram_task::DatagramTask, relay_message::RelayMessage},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
    tokio::{net::UdpSocket, sync::mpsc, task::JoinHandle},
};

const MESSAGES_MAX: usize = 256;

/// A UDP relay on the loopback interface whose link can be made faulty at run time.
///
/// Each sender reaches the upstream from a port of its own, to which answers return.
#[derive(Debug)]
pub struct DatagramRelay {
    address: SocketAddr,
    control: RelayControl,
    task: JoinHandle<()>,
}

impl DatagramRelay {
    /// Starts a relay to `upstream` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be opened.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream).await
    }

    /// Starts a relay to `upstream` that listens at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be opened.
    pub async fn start_at(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        let (sender, messages) = mpsc::channel::<RelayMessage>(MESSAGES_MAX);
        let task = DatagramTask::new(socket, upstream);
        Ok(Self {
            address,
            control: RelayControl::new(sender),
            task: tokio::spawn(task.run(messages)),
        })
    }

    /// Returns the address at which the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops what is on its way and ends the relay.
    pub async fn close(self) {
        self.control.close().await;
        // The task ends by itself; a panic of it has already been printed.
        let _ = self.task.await;
    }

    /// Returns a control that other tasks can keep.
    #[must_use]
    pub fn control(&self) -> RelayControl {
        self.control.clone()
    }

    /// Replaces the link's faults.
    pub async fn set_faults(&self, faults: LinkFaults) {
        self.control.set_faults(faults).await;
    }

    /// Silences the senders known now for good; new ones work.
    pub async fn silence(&self) {
        self.control.silence().await;
    }
}
