//! TCP relay.

use {
    super::{
        LinkFaults, RelayControl, relay_message::RelayMessage, relay_task::RelayTask,
        reserved_port::ReservedPort,
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

/// Maximum number of queued messages to the relay's task; further senders wait.
const MESSAGE_QUEUE_LEN: usize = 256;

/// A TCP relay on the loopback interface with faults that can be changed at run time.
///
/// When the upstream doesn't listen, the relay accepts a connection and then resets it.
#[derive(Debug)]
pub struct LinkRelay {
    address: SocketAddr,
    control: RelayControl,
    task: JoinHandle<()>,
}

impl LinkRelay {
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
    #[expect(
        clippy::unused_async,
        reason = "the socket registers with the runtime, which a caller must run"
    )]
    pub async fn start_at(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let port = ReservedPort::bind(listen)?;
        let address = port.address();
        let (sender, messages) = mpsc::channel::<RelayMessage>(MESSAGE_QUEUE_LEN);
        let task = RelayTask::new(port, upstream, sender.clone())?;
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

    /// Resets all connections and ends the relay.
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

    /// Permanently silences the connections that are open; new ones work.
    pub async fn silence(&self) {
        self.control.silence().await;
    }
}
