//! Sends the changes of the store to the other daemons of the data centre.

use {
    super::{
        ChangeLogError, ChangeRequest, ChangeShare, FeedBatch,
        change_body::{ERA_HEADER, FeedBatchBody, URGENT_HEADER, read_era},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, header::HeaderValue, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    poplargap_core::forward::PeerView,
    poplargap_store::StoreEra,
    slog::{Logger, debug, warn},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
};

/// Most connections of other daemons.
const CONNECTIONS_MAX: usize = 512;

/// Pause after a failed accept, as when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of a request's head; it also closes connections that are idle for so long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of a connection's read buffer in bytes.
const BUFFER_BYTES_MAX: usize = 8 * 1024;

/// What the server of changes needs.
#[derive(Debug)]
pub(crate) struct ChangeServer {
    pub(crate) age_max: Duration,
    pub(crate) log: Logger,
    pub(crate) peers: watch::Receiver<Arc<PeerView>>,
    pub(crate) share: Arc<ChangeShare>,
}

/// Accepts connections of known daemons until the task is aborted, which closes them.
pub(crate) async fn serve_changes(server: ChangeServer, listener: TcpListener) {
    let server = Arc::new(server);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, from)) if server.admits(from) && connections.len() < CONNECTIONS_MAX => {
                connections.spawn(serve(Arc::clone(&server), stream));
            }
            Ok((_, from)) => {
                debug!(server.log, "connection for changes of the store refused"; "from" => %from);
            }
            Err(error) => {
                warn!(server.log, "daemon's connection can't be accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl ChangeServer {
    /// Returns whether a daemon of the fleet runs on the host `from`.
    fn admits(&self, from: SocketAddr) -> bool {
        self.peers.borrow().is_known_host(from.ip())
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let own = self.share.era();
        let stated = read_era(request.headers());
        let (path, headers) = (request.uri().path(), request.headers());
        let Some(change_request) = ChangeRequest::parse(path, headers, stated.unwrap_or(own))
        else {
            return status(StatusCode::NOT_FOUND);
        };
        let ChangeRequest { after, wait } = change_request;
        // A daemon of an earlier release states no era; a revision that isn't known is of another one.
        if stated.is_none() && self.share.ends_before(after.complete.number()) {
            return status(StatusCode::GONE);
        }
        let era = after.complete.era();
        if era > own {
            self.share.hint(era);
        }
        match self.share.wait_since(after, wait, self.age_max).await {
            Ok(batch) => self.answer_batch(batch),
            Err(ChangeLogError::OtherEra(era)) => with_era(status(StatusCode::GONE), era),
            Err(ChangeLogError::Dropped(_)) => status(StatusCode::GONE),
            Err(ChangeLogError::NotReading) => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn answer_batch(&self, batch: FeedBatch) -> Response<Full<Bytes>> {
        let (era, urgent) = (batch.urgent.era(), batch.urgent.number());
        match serde_json::to_vec(&FeedBatchBody::from(batch)) {
            Ok(body) => {
                let mut response = Response::new(Full::new(body.into()));
                let urgent = HeaderValue::from(urgent);
                response.headers_mut().insert(URGENT_HEADER, urgent);
                with_era(response, era)
            }
            Err(error) => {
                warn!(self.log, "changes can't be encoded"; "error" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

async fn serve(server: Arc<ChangeServer>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(server.log, "socket options of a daemon's connection can't be set"; "error" => %error);
    }
    let service = service_fn(|request| {
        let server = Arc::clone(&server);
        async move { Ok::<_, Infallible>(server.answer(&request).await) }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES_MAX)
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(server.log, "daemon's connection failed"; "error" => %error);
    }
}

fn with_era(mut response: Response<Full<Bytes>>, era: StoreEra) -> Response<Full<Bytes>> {
    let value = HeaderValue::from(era.number());
    response.headers_mut().insert(ERA_HEADER, value);
    response
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
