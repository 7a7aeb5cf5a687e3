//! Pool of connections to replicas.

use {
    crate::process_clock::ProcessClock,
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    poplargap_core::{
        collections::HashMap,
        forward::{ReplicaEntry, ReplicaId},
        instant::MonotonicInstant,
    },
    slog::{Logger, debug},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Timeout for opening a connection; it is shorter than TCP's first retransmission of a SYN.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which sent data may stay unacknowledged before a connection fails.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(1);

/// Idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept if the replica announces no keep-alive time.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// Time before the end of the replica's keep-alive at which an idle connection isn't used any
/// more.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Longest idle time of a connection that is reused for an at-most-once request.
const AT_MOST_ONCE_IDLE_MAX: Duration = Duration::from_secs(2);

/// Refusals after which a connection isn't used again.
const REFUSALS_MAX: usize = 16;

/// Size limit of a connection's read buffer in bytes.
const BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Why a connection couldn't be opened.
#[derive(Debug, Display)]
pub(crate) enum OpenError {
    /// the connection failed: {0}
    Io(io::Error),
    /// the connection didn't open in time
    Timeout,
    /// the HTTP connection failed: {0}
    Http(hyper::Error),
}

impl std::error::Error for OpenError {}

/// An HTTP/1.1 connection, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct ReplicaConnection {
    pub(crate) is_new: bool,
    /// Hashes of the ids of the requests that the replica refused on this connection.
    pub(crate) refused: Vec<u64>,
    pub(crate) sender: SendRequest<Full<Bytes>>,
}

impl ReplicaConnection {
    /// Records that the replica refused a request on this connection.
    ///
    /// The replica may repeat the refusal later, and it would pass for one of the same request.
    pub(crate) fn record_refusal(&mut self, call_id: &str) {
        self.refused.push(xxh3_64(call_id.as_bytes()));
    }

    fn has_refused(&self, call_id: &str) -> bool {
        self.refused.contains(&xxh3_64(call_id.as_bytes()))
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: ReplicaConnection,
    since: MonotonicInstant,
    until: MonotonicInstant,
}

/// Idle connections by replica; the most recently used one is taken first.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    clock: ProcessClock,
    idle: Mutex<HashMap<ReplicaId, Vec<IdleConnection>>>,
    log: Logger,
}

impl ConnectionPool {
    pub(crate) fn new(clock: ProcessClock, log: Logger) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            log,
        }
    }

    /// Takes an idle connection on which the request wasn't refused before; with `at_most_once` only
    /// one that was used recently.
    pub(crate) fn take(
        &self,
        replica: &ReplicaEntry,
        call_id: &str,
        at_most_once: bool,
    ) -> Option<ReplicaConnection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&replica.id)?;
        while let Some(idle) = connections.pop() {
            if idle.connection.sender.is_closed() || idle.until <= now {
                continue;
            }
            let is_old = at_most_once && now.since(idle.since) > AT_MOST_ONCE_IDLE_MAX;
            if is_old || idle.connection.has_refused(call_id) {
                connections.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    /// Returns a connection to the pool after its reply was read; `keep_alive` is the replica's
    /// announced time.
    pub(crate) fn put(
        &self,
        replica: &ReplicaId,
        mut connection: ReplicaConnection,
        keep_alive: Option<Duration>,
    ) {
        if connection.sender.is_closed() || connection.refused.len() > REFUSALS_MAX {
            return;
        }
        connection.is_new = false;
        let now = self.clock.now();
        let kept = keep_alive.map_or(IDLE_DEFAULT, |wait| wait.saturating_sub(IDLE_MARGIN));
        let idle = IdleConnection {
            connection,
            since: now,
            until: now + kept,
        };
        self.lock()
            .entry(Arc::clone(replica))
            .or_default()
            .push(idle);
    }

    /// Opens a new connection.
    pub(crate) async fn open(
        &self,
        replica: &ReplicaEntry,
    ) -> Result<ReplicaConnection, OpenError> {
        let Ok(opened) = timeout(OPEN_TIMEOUT, TcpStream::connect(replica.address)).await else {
            return Err(OpenError::Timeout);
        };
        let stream = opened.map_err(OpenError::Io)?;
        set_socket_options(&stream).map_err(OpenError::Io)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(OpenError::Http)?;
        let log = self.log.clone();
        let id = Arc::clone(&replica.id);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(log, "connection to a replica failed";
                    "replica" => id.as_ref(), "error" => %error);
            }
        });
        Ok(ReplicaConnection {
            is_new: true,
            refused: Vec::new(),
            sender,
        })
    }

    /// Drops closed and expired connections, and those of replicas for which `keep` is false.
    pub(crate) fn sweep(&self, keep: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.lock().retain(|id, connections| {
            connections.retain(|idle| !idle.connection.sender.is_closed() && idle.until > now);
            keep(id) && !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the socket options, so that a connection to an unresponsive peer fails.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PAUSE)
        .with_interval(KEEPALIVE_PAUSE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
