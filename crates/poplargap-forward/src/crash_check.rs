//! Checks whether a replica whose connection broke has crashed.

use {
    crate::{call_stage::AdmittedCall, front_state::FrontState},
    poplargap_core::forward::{CrashId, CrashReport, ReplicaEntry, UnansweredCall},
    slog::info,
    std::{
        io::ErrorKind,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Pause before the check, in which the other connections of a crashed replica break, too.
const CHECK_PAUSE: Duration = Duration::from_millis(30);

/// Timeout of the check; a replica that doesn't respond may be cut off and isn't taken as crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Records a request whose connection broke before its answer was whole, and checks the replica.
///
/// A reset connection or a lost answer alone is no crash: the replica must refuse a new connection,
/// though it is registered as ready and hasn't said that it is leaving.
pub(crate) fn check_for_crash<D: Send + Sync + 'static>(
    state: &Arc<FrontState<D>>,
    replica: &ReplicaEntry,
    call: &AdmittedCall,
) {
    let head = &call.received.head;
    let unanswered = UnansweredCall::new(&head.id, &call.identity, call.workspace());
    if state.crashes.add_suspect(&replica.id, unanswered) {
        tokio::spawn(check(Arc::clone(state), replica.clone()));
    }
}

async fn check<D>(state: Arc<FrontState<D>>, replica: ReplicaEntry) {
    sleep(CHECK_PAUSE).await;
    let is_registered = state.replicas.borrow().replica(&replica.id).is_some();
    let is_leaving = state.tracker().is_leaving(&replica);
    let has_crashed = is_registered && !is_leaving && refuses_connections(&replica).await;
    let calls = state.crashes.take_suspects(&replica.id);
    if !has_crashed || calls.is_empty() {
        return;
    }
    let crash = CrashId {
        replica: Arc::clone(&replica.id),
        started_ms: replica.started_ms,
    };
    info!(state.log, "replica crashed before its answers were whole";
        "replica" => replica.id.as_ref(), "started-ms" => replica.started_ms,
        "service" => replica.service.as_ref(), "unanswered" => calls.len());
    let own = state.settings.peers.unwrap_or(state.settings.callers);
    let report = CrashReport::new(crash, unix_ms(), calls);
    state.crashes.record_crash(own, report);
}

/// Returns whether nothing listens at the replica's address.
async fn refuses_connections(replica: &ReplicaEntry) -> bool {
    let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(replica.address)).await;
    let Ok(Err(error)) = connected else {
        return false;
    };
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Returns the time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
