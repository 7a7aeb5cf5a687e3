use {
    super::{ReplicaFault, SeenRequest},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::Notify,
};

/// What a replica counts, and how it behaves.
#[derive(Debug, Default)]
pub(super) struct ReplicaState {
    pub(super) connections: usize,
    pub(super) crash: Arc<Notify>,
    pub(super) crashes: u64,
    pub(super) cut_off: usize,
    pub(super) endless_bytes: usize,
    pub(super) endless_open: usize,
    pub(super) fault: ReplicaFault,
    pub(super) id: String,
    pub(super) is_leaving: bool,
    pub(super) load: Option<String>,
    pub(super) refused: u64,
    pub(super) released: u64,
    pub(super) reports: u64,
    pub(super) running: u32,
    pub(super) seen: Vec<SeenRequest>,
}

pub(super) fn lock(state: &Mutex<ReplicaState>) -> MutexGuard<'_, ReplicaState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
