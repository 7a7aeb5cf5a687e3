//! A running relay.

use {
    super::{
        LinkFaults, RelayControl, held_port::HeldPort, relay_message::RelayMessage,
        relay_task::RelayTask,
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

const MESSAGES_MAX: usize = 256;

/// A TCP relay on the loopback interface whose link can be made faulty at run time.
///
/// A connection to an upstream that doesn't listen is accepted and then reset.
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
    /// Returns an error when no port can be opened.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream).await
    }

    /// Starts a relay to `upstream` that listens at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be opened.
    #[expect(
        clippy::unused_async,
        reason = "the socket registers with the runtime, which a caller must run"
    )]
    pub async fn start_at(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let port = HeldPort::bind(listen)?;
        let address = port.address();
        let (sender, messages) = mpsc::channel::<RelayMessage>(MESSAGES_MAX);
        let task = RelayTask::new(port, upstream, sender.clone())?;
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

    /// Resets all connections and ends the relay.
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

    /// Silences the connections open now for good; new ones work.
    pub async fn silence(&self) {
        self.control.silence().await;
    }
}
