use {
    super::{
        ReplicaFault, SeenRequest,
        answer_writer::{write_answer, write_begun_stream, write_early_answer},
        replica_state::{ReplicaState, lock},
        wire_answer::WireAnswer,
    },
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Time from a replica's crash until it accepts connections again.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// Time between the start of a replica and that of the one that replaces it, in milliseconds.
const RELEASE_MS: u64 = 100_000;

/// A replica that answers according to its fault and records the requests that it ran.
#[derive(Debug)]
pub struct ReplicaStandIn {
    address: SocketAddr,
    service: String,
    state: Arc<Mutex<ReplicaState>>,
    task: JoinHandle<()>,
}

impl ReplicaStandIn {
    /// Starts a replica on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port is free.
    pub async fn start(id: &str, service: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ReplicaState {
            id: id.to_owned(),
            ..ReplicaState::default()
        }));
        let task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            service: service.to_owned(),
            state,
            task,
        })
    }

    /// Returns the replica's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the key and the JSON value of the replica's next registration in the given state.
    #[must_use]
    pub fn registration(&self, state: &str) -> (String, String) {
        let mut own = lock(&self.state);
        own.reports += 1;
        let id = own.id.clone();
        let value = json!({
            "service": self.service, "address": self.address, "zone": "ne1", "version": "v1",
            "slots": 64, "state": state, "coldRemainingMs": 0, "sequence": own.reports,
            "born": 1 + own.crashes + own.released,
        });
        (format!("servers/{id}"), value.to_string())
    }

    /// Changes the replica's id, as if another replica had taken over its address.
    pub fn rename(&self, id: &str) {
        id.clone_into(&mut lock(&self.state).id);
    }

    /// Registers the replica with a later start time from now on, as after a release.
    pub fn release(&self) {
        lock(&self.state).released += RELEASE_MS;
    }

    /// Sets whether the replica says in its answers that it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.state).is_leaving = is_leaving;
    }

    /// Sets the load report of all further answers.
    pub fn set_load(&self, report: &str) {
        lock(&self.state).load = Some(report.to_owned());
    }

    /// Returns the number of requests that the replica refused for being full.
    #[must_use]
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }

    /// Sets the fault that applies to all further requests.
    pub fn set_fault(&self, fault: ReplicaFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the requests that the replica ran, oldest first.
    #[must_use]
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns how often the replica crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        lock(&self.state).crashes
    }

    /// Returns the number of accepted connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.state).connections
    }

    /// Returns the number of answers that the reader cut off before their end.
    #[must_use]
    pub fn cut_off(&self) -> usize {
        lock(&self.state).cut_off
    }

    /// Returns the number of bytes that were sent without end.
    #[must_use]
    pub fn endless_bytes(&self) -> usize {
        lock(&self.state).endless_bytes
    }

    /// Returns the number of connections on which bytes are still sent without end.
    #[must_use]
    pub fn endless_open(&self) -> usize {
        lock(&self.state).endless_open
    }

    /// Stops accepting connections; the port refuses new ones.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Accepts connections; after a crash, which ends all of them, the replica starts again.
async fn accept_connections(mut listener: TcpListener, state: Arc<Mutex<ReplicaState>>) {
    let crash = Arc::clone(&lock(&state).crash);
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else {
                        return;
                    };
                    lock(&state).connections += 1;
                    connections.spawn(serve(stream, Arc::clone(&state)));
                }
                () = crash.notified() => break,
            }
        }
        drop(listener);
        connections.shutdown().await;
        lock(&state).running = 0;
        sleep(CRASH_TIME).await;
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

/// Serves the requests of one connection until it is closed or an answer fails.
async fn serve(mut stream: TcpStream, state: Arc<Mutex<ReplicaState>>) {
    let mut refusal = None;
    while let Some(head) = SeenRequest::read_head(&mut stream).await {
        let fault = lock(&state).fault;
        if let ReplicaFault::EarlyReset(pause) = fault {
            // The connection is reset in any case, since a part of the request isn't read.
            drop(write_early_answer(&mut stream, &head, pause).await);
            return;
        }
        let Some(request) = head.read_body(&mut stream).await else {
            return;
        };
        if answer(&mut stream, &state, request, &mut refusal)
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Answers one request; an error closes the connection. `refusal` is the connection's earlier one.
async fn answer(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    request: SeenRequest,
    refusal: &mut Option<String>,
) -> io::Result<()> {
    let (fault, id, is_leaving) = {
        let state = lock(state);
        (state.fault, state.id.clone(), state.is_leaving)
    };
    if request.header("expect-instance") != Some(id.as_str()) {
        let refusal = WireAnswer::wrong_replica(&id, &request);
        return stream.write_all(refusal.as_bytes()).await;
    }
    let retry_after = match fault {
        ReplicaFault::Full => Some(""),
        ReplicaFault::FullFor(time) => Some(time),
        _ => None,
    };
    if let Some(retry_after) = retry_after {
        lock(state).refused += 1;
        let id = request.header("attempt-id");
        let refusal = WireAnswer::not_executed(id, is_leaving, retry_after);
        return stream.write_all(refusal.as_bytes()).await;
    }
    if let ReplicaFault::RepeatRefusal { has_id } = fault {
        let id = request.header("attempt-id");
        let Some(earlier) = refusal else {
            *refusal = Some(WireAnswer::not_executed(
                id.filter(|_| has_id),
                is_leaving,
                "",
            ));
            let first = WireAnswer::not_executed(id, is_leaving, "");
            return stream.write_all(first.as_bytes()).await;
        };
        stream.write_all(earlier.as_bytes()).await?;
    }
    let wire = {
        let mut state = lock(state);
        state.running += 1;
        state.seen.push(request.clone());
        let load = state.load.clone();
        let load = load.unwrap_or_else(|| format!("{},0,64", state.running));
        WireAnswer::new(&request, load, is_leaving)
    };
    let crash_after = match fault {
        ReplicaFault::CrashOnPart { events, part } if request.shares_part(part) => Some(events),
        ReplicaFault::CrashOnText(text) if request.ends_with(text) => Some(0),
        _ => None,
    };
    if let Some(events) = crash_after {
        if events > 0 {
            write_begun_stream(stream, &wire, &request, events).await?;
        }
        let crash = {
            let mut state = lock(state);
            state.crashes += 1;
            Arc::clone(&state.crash)
        };
        crash.notify_one();
        return std::future::pending().await;
    }
    let written = write_answer(stream, state, fault, &wire, &request).await;
    lock(state).running -= 1;
    written
}
