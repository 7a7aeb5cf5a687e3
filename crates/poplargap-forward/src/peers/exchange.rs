use {
    super::{MessageError, PeerMessage},
    crate::front_state::FrontState,
    poplargap_core::{
        forward::{LeavingReplica, LoadDigest, PeerCrash, PeerReport, PeerView},
        instant::MonotonicInstant,
    },
    rand::Rng,
    slog::{info, warn},
    std::{
        io::{self, ErrorKind},
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Most datagrams that are read in a round; further ones are left for the next round.
const DATAGRAMS_PER_ROUND_MAX: usize = 512;

/// Size of the receive buffer in bytes; longer datagrams are truncated.
const DATAGRAM_BYTES_MAX: usize = 4_096;

/// Shortest pause between two log lines about refused datagrams.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// The UDP socket for messages between daemons.
///
/// It is polled in rounds: in a large fleet, waking up for each datagram would take most of a
/// daemon's time.
#[derive(Debug)]
pub(crate) struct PeerSocket(UdpSocket);

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be bound to the address.
    pub(crate) fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self(socket))
    }
}

/// Exchanges load reports and cached prompts with the other daemons, in rounds.
pub(crate) async fn exchange_loads<D>(
    state: Arc<FrontState<D>>,
    socket: PeerSocket,
    peers: watch::Receiver<Arc<PeerView>>,
) {
    let mut refused = RefusedDatagrams::default();
    loop {
        let pause = state.tracker().exchange_pause(state.clock.now());
        sleep(pause).await;
        let view = Arc::clone(&peers.borrow());
        receive_digests(&state, &socket, &view, &mut refused);
        refused.write(&state);
        let digest = state.tracker().take_digest(state.clock.now());
        if !digest.is_empty() {
            send_message(&state, &socket, &view, &PeerMessage::Loads(digest));
        }
        let leaving = state.tracker().take_leaving();
        if !leaving.is_empty() {
            send_message(&state, &socket, &view, &PeerMessage::Leaving(leaving));
        }
        let crashes = state.crashes.take_pending();
        if !crashes.is_empty() {
            send_message(&state, &socket, &view, &PeerMessage::Crashes(crashes));
        }
    }
}

/// Sends a message to a sample of the other daemons.
fn send_message<D>(
    state: &FrontState<D>,
    socket: &PeerSocket,
    view: &PeerView,
    message: &PeerMessage,
) {
    let bytes = match message.write() {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(state.log, "message to the peers can't be encoded"; "error" => %error);
            return;
        }
    };
    let seed = rand::rng().random();
    for address in view.sample(&state.settings.data_centre, seed) {
        let outcome = match socket.0.send_to(&bytes, address) {
            Ok(_) => "told",
            Err(_) => "not-told",
        };
        state.metrics.record_peer_message(outcome);
    }
}

/// Receives the other daemons' digests and applies them.
fn receive_digests<D>(
    state: &FrontState<D>,
    socket: &PeerSocket,
    view: &PeerView,
    refused: &mut RefusedDatagrams,
) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    for _ in 0..DATAGRAMS_PER_ROUND_MAX {
        let (len, from) = match socket.0.recv_from(&mut buffer) {
            Ok(datagram) => datagram,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            // The error may be that of an earlier datagram whose receiver wasn't listening, so the
            // next one is read.
            Err(_) => continue,
        };
        let message = if view.is_known(&from) {
            PeerMessage::read(&buffer[..len]).map_err(RefusalReason::Malformed)
        } else {
            Err(RefusalReason::UnknownSender)
        };
        match message {
            Ok(PeerMessage::Loads(digest)) => {
                state.metrics.record_peer_message("heard");
                apply_digest(state, from, &digest);
            }
            Ok(PeerMessage::Leaving(leaving)) => {
                state.metrics.record_peer_message("heard");
                apply_leaving(state, &leaving);
            }
            Ok(PeerMessage::Crashes(crashes)) => {
                state.metrics.record_peer_message("heard");
                apply_crashes(state, view, crashes);
            }
            Err(reason) => {
                state.metrics.record_peer_message("refused");
                refused.record(from, reason);
            }
        }
    }
}

/// Records the entries of a digest that belong to known replicas.
fn apply_digest<D>(state: &FrontState<D>, from: SocketAddr, digest: &LoadDigest) {
    let now = state.clock.now();
    let replicas = Arc::clone(&state.replicas.borrow());
    let mut tracker = state.tracker();
    for demand in &digest.demands {
        tracker.demand_mut().record_peer(from, demand, now);
    }
    for cached in &digest.prefix_replicas {
        if let Some(replica) = replicas.replica(&cached.replica) {
            tracker.record_peer_cached(cached.key, replica, now);
        }
    }
    for peer_report in &digest.reports {
        if let Some(replica) = replicas.replica(&peer_report.replica) {
            tracker.record_peer_report(replica, peer_report.report, report_time(peer_report, now));
        }
    }
}

/// Records the leaving replicas that are registered with the same start.
fn apply_leaving<D>(state: &FrontState<D>, leaving: &[LeavingReplica]) {
    let now = state.clock.now();
    let replicas = Arc::clone(&state.replicas.borrow());
    for LeavingReplica {
        replica,
        started_ms,
    } in leaving
    {
        let known = replicas.replica(replica);
        let Some(known) = known.filter(|known| known.started_ms == *started_ms) else {
            continue;
        };
        if state.tracker().record_leaving(known, now) {
            state.metrics.record_notice("leaving-peer");
            info!(state.log, "replica is leaving; it gets no new requests";
                "replica" => replica.as_ref(), "started-ms" => *started_ms, "said-by" => "peer");
        }
    }
}

/// Records the crashes of registered replicas that known daemons saw.
fn apply_crashes<D>(state: &FrontState<D>, view: &PeerView, crashes: Vec<PeerCrash>) {
    let replicas = Arc::clone(&state.replicas.borrow());
    for crash in crashes {
        let is_known = replicas.replica(&crash.report.crash().replica).is_some();
        if is_known && view.is_known(&crash.seen_by) {
            state.crashes.record_peer_crash(crash);
        }
    }
}

/// Returns the time at which a report that is received at `now` was made.
fn report_time(peer_report: &PeerReport, now: MonotonicInstant) -> MonotonicInstant {
    now - Duration::from_millis(peer_report.age_ms.into())
}

/// Why a datagram was refused.
#[derive(Debug)]
enum RefusalReason {
    Malformed(MessageError),
    UnknownSender,
}

/// Datagrams that were refused since the last log line.
#[derive(Debug, Default)]
struct RefusedDatagrams {
    count: u64,
    last: Option<(SocketAddr, RefusalReason)>,
    written: Option<Instant>,
}

impl RefusedDatagrams {
    fn record(&mut self, from: SocketAddr, reason: RefusalReason) {
        self.count += 1;
        self.last = Some((from, reason));
    }

    /// Writes a log line if datagrams were refused and the last line is old enough.
    fn write<D>(&mut self, state: &FrontState<D>) {
        let is_early = self.written.is_some_and(|at| at.elapsed() < LOG_PAUSE);
        if is_early {
            return;
        }
        if let Some((from, reason)) = self.last.take() {
            let reason = match reason {
                RefusalReason::Malformed(error) => error.to_string(),
                RefusalReason::UnknownSender => "the sender isn't a known daemon".to_owned(),
            };
            warn!(state.log, "datagrams refused"; "count" => self.count,
                "last-from" => %from, "reason" => reason);
            self.count = 0;
            self.written = Some(Instant::now());
        }
    }
}
