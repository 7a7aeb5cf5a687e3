use {
    super::{ReplicaEntry, ReplicaId},
    crate::collections::HashMap,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Rounds in which a leaving replica is sent to peers, since datagrams may be lost.
const ROUNDS: u32 = 4;

/// Most replicas of one message.
const REPLICAS_MAX: usize = 48;

/// A replica that is leaving, as daemons send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeavingReplica {
    /// The replica's id.
    pub replica: ReplicaId,
    /// Start time of its process in Unix milliseconds.
    pub started_ms: u64,
}

/// The leaving replicas that have to be sent to the peers.
#[derive(Debug, Default)]
pub struct PendingLeaving {
    replicas: HashMap<ReplicaId, (u64, u32)>,
}

impl PendingLeaving {
    /// Adds a replica that this daemon has just learned to be leaving.
    pub fn record(&mut self, replica: &ReplicaEntry) {
        let id = Arc::clone(&replica.id);
        self.replicas.insert(id, (replica.started_ms, ROUNDS));
    }

    /// Returns the replicas for one round.
    pub fn take(&mut self) -> Vec<LeavingReplica> {
        let mut taken = Vec::new();
        for (replica, (started_ms, rounds)) in self.replicas.iter_mut().take(REPLICAS_MAX) {
            *rounds -= 1;
            taken.push(LeavingReplica {
                replica: Arc::clone(replica),
                started_ms: *started_ms,
            });
        }
        self.replicas.retain(|_, (_, rounds)| *rounds > 0);
        taken
    }
}
