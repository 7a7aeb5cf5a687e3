use {
    super::{
        EndlessBytes, ReplicaFault, SeenRequest,
        wire_answer::{EVENT_COUNT, WireAnswer},
    },
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Repetitions of endless bytes in one write.
const ENDLESS_REPEATS: usize = 512;

/// Pause between two writes of endless bytes.
const ENDLESS_PAUSE: Duration = Duration::from_millis(2);

/// Time from a replica's crash until it accepts connections again.
const CRASH_TIME: Duration = Duration::from_millis(300);

/// Header lines of an event stream.
const STREAM_FRAMING: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(30);

#[derive(Debug, Default)]
struct ReplicaState {
    connections: usize,
    crash: Arc<Notify>,
    crashes: u64,
    cut_off: usize,
    endless_bytes: usize,
    endless_open: usize,
    fault: ReplicaFault,
    id: String,
    is_leaving: bool,
    refused: u64,
    running: u32,
    seen: Vec<SeenRequest>,
}

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

    /// Returns the key and the JSON value of the replica's registration in the given state.
    #[must_use]
    pub fn registration(&self, state: &str) -> (String, String) {
        let id = lock(&self.state).id.clone();
        let value = json!({
            "service": self.service, "address": self.address, "zone": "ne1", "version": "v1",
            "slots": 64, "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": 1 + self.crashes(),
        });
        (format!("servers/{id}"), value.to_string())
    }

    /// Changes the replica's id, as if another replica had taken over its address.
    pub fn rename(&self, id: &str) {
        id.clone_into(&mut lock(&self.state).id);
    }

    /// Sets whether the replica says in its answers that it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.state).is_leaving = is_leaving;
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

    /// Returns the number of streams that the reader closed before their end.
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

fn lock(state: &Mutex<ReplicaState>) -> MutexGuard<'_, ReplicaState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
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
    while let Some(request) = SeenRequest::read(&mut stream).await {
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
        WireAnswer::new(&request, state.running, is_leaving)
    };
    if let ReplicaFault::CrashOnPart(part) = fault
        && request.shares_part(part)
    {
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

async fn write_answer(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    fault: ReplicaFault,
    wire: &WireAnswer,
    request: &SeenRequest,
) -> io::Result<()> {
    let whole = wire.whole("200 OK");
    match fault {
        ReplicaFault::Endless(bytes) => write_endless(stream, state, bytes, wire).await,
        ReplicaFault::CloseUnanswered => Err(io::ErrorKind::ConnectionReset.into()),
        ReplicaFault::ExtraAnswer => {
            stream.write_all(whole.as_bytes()).await?;
            sleep(EVENT_PAUSE).await;
            stream.write_all(whole.as_bytes()).await
        }
        ReplicaFault::Fail => {
            let failure = wire.whole("500 Internal Server Error");
            stream.write_all(failure.as_bytes()).await
        }
        ReplicaFault::PlainText => {
            let framing = "Content-Type: text/plain\r\nContent-Length: 15\r\n";
            let plain = wire.head("200 OK", framing) + "it went wrong\n\n";
            stream.write_all(plain.as_bytes()).await
        }
        ReplicaFault::Slow(time) => {
            sleep(time).await;
            stream.write_all(whole.as_bytes()).await
        }
        ReplicaFault::Truncate => {
            stream
                .write_all(&whole.as_bytes()[..whole.len() - 3])
                .await?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        ReplicaFault::Unframed => {
            let unframed = wire.head("200 OK", "") + "answer without a length";
            stream.write_all(unframed.as_bytes()).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        ReplicaFault::UnframedCutStream(count) => {
            write_unframed_stream(stream, wire, request, Some(count)).await
        }
        ReplicaFault::UnframedStream => write_unframed_stream(stream, wire, request, None).await,
        ReplicaFault::Unsigned => stream.write_all(wire.unsigned().as_bytes()).await,
        ReplicaFault::BreakStream(_)
        | ReplicaFault::CrashOnPart(_)
        | ReplicaFault::None
        | ReplicaFault::Full
        | ReplicaFault::FullFor(_)
        | ReplicaFault::RepeatRefusal { .. } => {
            if !request.line.contains("/stream") {
                return stream.write_all(whole.as_bytes()).await;
            }
            let streamed = write_stream(stream, fault, wire, request).await;
            if streamed.is_err() && fault == ReplicaFault::None {
                lock(state).cut_off += 1;
            }
            streamed
        }
    }
}

/// Writes bytes without end until the reader closes the connection.
async fn write_endless(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    bytes: EndlessBytes,
    wire: &WireAnswer,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    let start = bytes.start(&head, &wire.whole("200 OK"), &WireAnswer::event(1));
    lock(state).endless_open += 1;
    let written = repeat(stream, state, &start, bytes.repeated()).await;
    lock(state).endless_open -= 1;
    written
}

async fn repeat(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    start: &str,
    repeated: &str,
) -> io::Result<()> {
    stream.write_all(start.as_bytes()).await?;
    let block = repeated.repeat(ENDLESS_REPEATS);
    let mut answer = [0; 1];
    loop {
        // The reader sends nothing, so a read ends only when it closes the connection.
        tokio::select! {
            read = stream.read(&mut answer) => {
                read?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            () = sleep(ENDLESS_PAUSE) => {}
        }
        stream.write_all(block.as_bytes()).await?;
        lock(state).endless_bytes += block.len();
    }
}

/// Writes a stream whose end is that of its connection; it ends in the middle of the event after
/// number `cut_after`, if that is set.
async fn write_unframed_stream(
    stream: &mut TcpStream,
    wire: &WireAnswer,
    request: &SeenRequest,
    cut_after: Option<u64>,
) -> io::Result<()> {
    let head = wire.head("200 OK", "Content-Type: text/event-stream\r\n");
    stream.write_all(head.as_bytes()).await?;
    for number in request.last_event() + 1..=EVENT_COUNT {
        let event = WireAnswer::event_text(number);
        if cut_after == Some(number - 1) {
            let half = &event.as_bytes()[..event.len() / 2];
            stream.write_all(half).await?;
            break;
        }
        stream.write_all(event.as_bytes()).await?;
        sleep(EVENT_PAUSE).await;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Writes the events that follow the request's `Last-Event-Id`.
async fn write_stream(
    stream: &mut TcpStream,
    fault: ReplicaFault,
    wire: &WireAnswer,
    request: &SeenRequest,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    stream.write_all(head.as_bytes()).await?;
    for number in request.last_event() + 1..=EVENT_COUNT {
        let event = WireAnswer::event(number);
        if fault == ReplicaFault::BreakStream(number - 1) {
            stream
                .write_all(&event.as_bytes()[..event.len() / 2])
                .await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(event.as_bytes()).await?;
        sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
