//! UDP relay.

use {
    super::{LinkFaults, RelayControl, datagram_task::DatagramTask, relay_message::RelayMessage},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
    tokio::{net::UdpSocket, sync::mpsc, task::JoinHandle},
};

/// Maximum number of queued messages to the relay's task; further senders wait.
const MESSAGE_QUEUE_LEN: usize = 256;

/// A UDP relay on the loopback interface with faults that can be changed at run time.
///
/// The relay uses a separate port towards the upstream for each sender, so that it can return
/// replies to the right sender.
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
    /// Returns an error when no port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream).await
    }

    /// Starts a relay to `upstream` that listens at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be bound.
    pub async fn start_at(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        let (sender, messages) = mpsc::channel::<RelayMessage>(MESSAGE_QUEUE_LEN);
        let task = DatagramTask::new(socket, upstream);
        Ok(Self {
            address,
            control: RelayControl::new(sender),
            task: tokio::spawn(task.run(messages)),
        })
    }

    /// Returns the relay's listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops the datagrams in flight and ends the relay.
    pub async fn close(self) {
        self.control.close().await;
        // An error means that the task panicked, which the panic hook has already printed.
        let _ = self.task.await;
    }

    /// Returns a handle by which other tasks can control the relay.
    #[must_use]
    pub fn control(&self) -> RelayControl {
        self.control.clone()
    }

    /// Replaces the link's faults.
    pub async fn set_faults(&self, faults: LinkFaults) {
        self.control.set_faults(faults).await;
    }

    /// Permanently drops all datagrams from and to the senders known so far; new ones work.
    pub async fn silence(&self) {
        self.control.silence().await;
    }
}
