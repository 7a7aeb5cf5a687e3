//! HTTP server that controls a relay.

use {
    super::{LinkFaults, RelayControl},
    std::{convert::Infallible, io, net::SocketAddr},
    tokio::{net::TcpListener, sync::oneshot, task::JoinHandle},
    warp::{Filter, Rejection, Reply, http::StatusCode},
};

/// HTTP server that lets other processes control a relay.
///
/// `POST /faults` sets [`LinkFaults`], `DELETE /faults` clears them, and `POST /silence`
/// permanently silences the connections that are open.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    server: JoinHandle<()>,
    stop_tx: oneshot::Sender<()>,
}

impl ControlServer {
    /// Starts the server at `listen`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be bound.
    pub async fn start(listen: SocketAddr, control: RelayControl) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop_tx, stop_rx) = oneshot::channel::<()>();
        let server = warp::serve(routes(control))
            .incoming(listener)
            .graceful(async move {
                // A dropped sender stops the server as well.
                let _ = stop_rx.await;
            })
            .run();
        Ok(Self {
            address,
            server: tokio::spawn(server),
            stop_tx,
        })
    }

    /// Returns the server's listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server after it has completed the requests in progress.
    pub async fn close(self) {
        // Both fail only when the server has already ended.
        let _ = self.stop_tx.send(());
        let _ = self.server.await;
    }
}

fn routes(
    control: RelayControl,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let control = warp::any().map(move || control.clone());
    let clear = warp::path!("faults")
        .and(warp::delete())
        .and(control.clone())
        .and_then(|control: RelayControl| set_faults(control, LinkFaults::default()));
    let set = warp::path!("faults")
        .and(warp::post())
        .and(control.clone())
        .and(warp::body::json())
        .and_then(set_faults);
    let silence = warp::path!("silence")
        .and(warp::post())
        .and(control)
        .and_then(|control: RelayControl| async move {
            control.silence().await;
            Ok::<_, Infallible>(StatusCode::NO_CONTENT)
        });
    clear.or(set).or(silence)
}

async fn set_faults(control: RelayControl, faults: LinkFaults) -> Result<StatusCode, Infallible> {
    control.set_faults(faults).await;
    Ok(StatusCode::NO_CONTENT)
}
