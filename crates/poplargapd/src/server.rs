//! HTTP listeners that shut down gracefully.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::oneshot,
        task::JoinHandle,
        time,
    },
    warp::{Filter, Rejection, Reply},
};

const BACKLOG_CONNECTIONS: u32 = 1_024;

/// Binds a listener whose connections send small segments without delay (`TCP_NODELAY`).
///
/// # Errors
///
/// Returns an error when the address is in use or isn't one of this VM.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the option from their listener.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// A running HTTP listener.
#[derive(Debug)]
pub struct HttpServer {
    handle: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl HttpServer {
    /// Starts serving `route` on `listener`.
    pub fn start<F>(route: F, listener: TcpListener) -> Self
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let (stop, stopped) = oneshot::channel();
        let serving = warp::serve(route)
            .incoming(listener)
            .graceful(wait_for_stop(stopped))
            .run();
        let handle = tokio::spawn(serving);
        Self { handle, stop }
    }

    /// Stops accepting connections and waits up to `grace` for the open ones to end.
    ///
    /// Connections that are open after that time, which are mostly idle ones, are dropped.
    pub async fn close(self, grace: Duration) {
        drop(self.stop);
        let abort = self.handle.abort_handle();
        if time::timeout(grace, self.handle).await.is_err() {
            abort.abort();
        }
    }
}

async fn wait_for_stop(stopped: oneshot::Receiver<()>) {
    drop(stopped.await);
}
