//! Start and stop of the stand-in's server.

use {
    super::{store_handle::StoreHandle, store_routes::routes, store_task::StoreTask},
    crate::relay::LinkRelay,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
        task::JoinHandle,
        time::timeout,
    },
};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const MESSAGES_MAX: usize = 1024;

/// A stand-in for the platform's store and VM list, served over HTTP.
///
/// Clients connect through a relay, which can reset and silence their connections.
#[derive(Debug)]
pub struct StoreStandIn {
    relay: LinkRelay,
    server: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl StoreStandIn {
    /// Starts an empty store at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be opened.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let relay = LinkRelay::start_at(address, listener.local_addr()?).await?;
        let (sender, messages) = mpsc::channel(MESSAGES_MAX);
        tokio::spawn(StoreTask::default().run(messages));
        let routes = routes(StoreHandle::new(sender), relay.control());
        let (stop, stopped) = oneshot::channel::<()>();
        let server = warp::serve(routes)
            .incoming(listener)
            .graceful(async move {
                // A dropped sender stops the server as well.
                let _ = stopped.await;
            })
            .run();
        Ok(Self {
            relay,
            server: tokio::spawn(server),
            stop,
        })
    }

    /// Returns the address at which the store is served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Closes all connections and stops the stand-in; its content is lost.
    pub async fn close(self) {
        self.relay.close().await;
        // The send fails when the server has already stopped.
        let _ = self.stop.send(());
        let abort = self.server.abort_handle();
        if timeout(CLOSE_TIMEOUT, self.server).await.is_err() {
            abort.abort();
        }
    }
}
