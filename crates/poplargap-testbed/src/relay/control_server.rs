//! Control of a relay over HTTP.

use {
    super::{LinkFaults, RelayControl},
    std::{convert::Infallible, io, net::SocketAddr},
    tokio::{net::TcpListener, sync::oneshot, task::JoinHandle},
    warp::{Filter, Rejection, Reply, http::StatusCode},
};

/// A server that steers a relay from outside its process.
///
/// `POST /faults` sets [`LinkFaults`], `DELETE /faults` clears them, and `POST /silence`
/// silences the connections open now.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    server: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl ControlServer {
    /// Starts the server at `listen`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the port can't be opened.
    pub async fn start(listen: SocketAddr, control: RelayControl) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let server = warp::serve(routes(control))
            .incoming(listener)
            .graceful(async move {
                // A dropped sender stops the server as well.
                let _ = stopped.await;
            })
            .run();
        Ok(Self {
            address,
            server: tokio::spawn(server),
            stop,
        })
    }

    /// Returns the address at which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Finishes the calls in progress and ends the server.
    pub async fn close(self) {
        // The server may have ended by itself.
        let _ = self.stop.send(());
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
