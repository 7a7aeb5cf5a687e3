//! Detects restarts of engine processes.

use {
    poplargap_core::{
        catalogue::UpstreamEntry,
        collections::{HashMap, HashMapExt},
        name::UpstreamName,
    },
    std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream, sync::mpsc, task::AbortHandle, time},
};

/// Longest wait for a connection.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// Pause between two attempts to connect.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Age at which a connection is replaced, since the loss of its peer may have gone unnoticed.
const CONNECTION_AGE_MAX: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct WatchedEngine {
    address: SocketAddr,
    task: AbortHandle,
}

/// Holds an idle connection to each engine that has orders, and detects restarts.
///
/// The end of a connection doesn't prove a restart, since servers close idle connections. A refused
/// connection proves that no process is listening, so that a process that accepts connections
/// there later has restarted.
#[derive(Debug)]
pub(super) struct RestartWatch {
    engines: HashMap<UpstreamName, WatchedEngine>,
    restarts: mpsc::UnboundedSender<UpstreamName>,
}

impl RestartWatch {
    pub(super) fn new() -> (Self, mpsc::UnboundedReceiver<UpstreamName>) {
        let (restarts, receiver) = mpsc::unbounded_channel();
        let engines = HashMap::new();
        (Self { engines, restarts }, receiver)
    }

    /// Replaces the watched engines by those of `entries`.
    pub(super) fn update(&mut self, entries: &[Arc<UpstreamEntry>]) {
        let mut before = std::mem::take(&mut self.engines);
        for entry in entries {
            let known = before.remove(&entry.name);
            let engine = match known {
                Some(engine) if engine.address == entry.address => engine,
                other => {
                    if let Some(engine) = other {
                        engine.task.abort();
                    }
                    self.start(entry)
                }
            };
            self.engines.insert(entry.name.clone(), engine);
        }
        for engine in before.into_values() {
            engine.task.abort();
        }
    }

    fn start(&self, entry: &UpstreamEntry) -> WatchedEngine {
        let address = entry.address;
        let watch = watch_engine(address, entry.name.clone(), self.restarts.clone());
        let task = tokio::spawn(watch).abort_handle();
        WatchedEngine { address, task }
    }
}

impl Drop for RestartWatch {
    fn drop(&mut self) {
        for engine in self.engines.values() {
            engine.task.abort();
        }
    }
}

async fn watch_engine(
    address: SocketAddr,
    name: UpstreamName,
    restarts: mpsc::UnboundedSender<UpstreamName>,
) {
    let mut was_refused = false;
    loop {
        match time::timeout(CONNECT_MAX, TcpStream::connect(address)).await {
            Ok(Ok(connection)) => {
                if std::mem::take(&mut was_refused) && restarts.send(name.clone()).is_err() {
                    return;
                }
                // Waits until the connection ends or reaches its maximum age, whichever comes first.
                drop(time::timeout(CONNECTION_AGE_MAX, wait_for_end(connection)).await);
            }
            Ok(Err(error)) => {
                was_refused |= error.kind() == ErrorKind::ConnectionRefused;
                time::sleep(RETRY_PAUSE).await;
            }
            Err(_) => time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn wait_for_end(mut connection: TcpStream) {
    let mut buffer = [0; 64];
    while connection.read(&mut buffer).await.is_ok_and(|len| len > 0) {}
}
