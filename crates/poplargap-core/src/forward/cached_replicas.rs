use {
    super::{ReplicaEntry, ReplicaId},
    crate::{collections::HashMap, instant::MonotonicInstant},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Most prompts that are tracked; further ones are ignored until some expire.
const PROMPTS_MAX: usize = 4_096;

/// Most replicas that are tracked for one prompt.
const REPLICAS_PER_PROMPT_MAX: usize = 8;

/// Time since the last use after which a replica has probably evicted a prompt.
const CACHE_TTL: Duration = Duration::from_mins(1);

/// Time after which a cached prompt that is still used is announced to the peers again.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(5);

/// Most entries of one announcement; an omitted one is announced at its next use.
const ANNOUNCED_MAX: usize = 48;

/// A prompt prefix that a replica has cached, as one daemon reports it to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PrefixReplica {
    /// Key of the prompt's shared parts.
    pub key: u64,
    /// The replica that has them in its cache.
    pub replica: ReplicaId,
}

/// A replica that has a prompt's shared parts in its cache.
#[derive(Clone, Debug)]
pub(super) struct CachedReplica {
    started_ms: u64,
    replica: ReplicaId,
    announced: Option<MonotonicInstant>,
    used: MonotonicInstant,
}

impl CachedReplica {
    fn is_current(&self, now: MonotonicInstant) -> bool {
        now.since(self.used) < CACHE_TTL
    }

    /// Returns the replica's id.
    pub(super) fn id(&self) -> &str {
        &self.replica
    }

    /// Returns whether this is `replica` since its last start.
    pub(super) fn is_at(&self, replica: &ReplicaEntry) -> bool {
        self.started_ms == replica.started_ms && self.replica == replica.id
    }

    /// Returns the time of the last use.
    pub(super) fn used(&self) -> MonotonicInstant {
        self.used
    }
}

/// The replicas that probably have each prompt cached, from this daemon's own requests and from
/// its peers' reports.
#[derive(Debug, Default)]
pub struct CachedReplicas {
    unsent: Vec<PrefixReplica>,
    prompts: HashMap<u64, Vec<CachedReplica>>,
}

impl CachedReplicas {
    /// Records that a request for the prompt `key` goes to `replica`.
    pub fn record(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        let has_room = self.unsent.len() < ANNOUNCED_MAX;
        let Some(cached) = self.touch(key, replica, now) else {
            return;
        };
        let is_due = cached
            .announced
            .is_none_or(|announced| now.since(announced) >= ANNOUNCE_PAUSE);
        if is_due && has_room {
            cached.announced = Some(now);
            self.unsent.push(PrefixReplica {
                key,
                replica: Arc::clone(&replica.id),
            });
        }
    }

    /// Records a cached prompt that a peer reported; it isn't announced again by this daemon.
    pub fn record_peer(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        if let Some(cached) = self.touch(key, replica, now) {
            cached.announced = Some(now);
        }
    }

    /// Returns whether `replica` probably still has the prompt `key` in its cache.
    #[must_use]
    pub fn is_cached(&self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        self.holders(key, now).any(|cached| cached.is_at(replica))
    }

    /// Returns the replicas that probably still have the prompt `key` in their caches.
    pub(super) fn holders(
        &self,
        key: u64,
        now: MonotonicInstant,
    ) -> impl Iterator<Item = &CachedReplica> {
        let entries = self.prompts.get(&key).into_iter().flatten();
        entries.filter(move |cached| cached.is_current(now))
    }

    /// Takes the entries that haven't been sent to the peers yet.
    pub fn take_unsent(&mut self) -> Vec<PrefixReplica> {
        std::mem::take(&mut self.unsent)
    }

    /// Removes the entries whose last use is older than the time to live.
    pub fn expire(&mut self, now: MonotonicInstant) {
        self.prompts.retain(|_, entries| {
            entries.retain(|cached| cached.is_current(now));
            !entries.is_empty()
        });
    }

    /// Finds or adds an entry and marks it as used; a full prompt drops its least recently used
    /// one.
    fn touch(
        &mut self,
        key: u64,
        replica: &ReplicaEntry,
        now: MonotonicInstant,
    ) -> Option<&mut CachedReplica> {
        if self.prompts.len() >= PROMPTS_MAX && !self.prompts.contains_key(&key) {
            return None;
        }
        let entries = self.prompts.entry(key).or_default();
        let known = entries
            .iter()
            .position(|cached| cached.replica == replica.id);
        let position = known.unwrap_or_else(|| {
            if entries.len() >= REPLICAS_PER_PROMPT_MAX {
                entries.sort_unstable_by_key(|cached| cached.used);
                entries.remove(0);
            }
            entries.push(CachedReplica {
                started_ms: replica.started_ms,
                replica: Arc::clone(&replica.id),
                announced: None,
                used: now,
            });
            entries.len() - 1
        });
        let cached = &mut entries[position];
        cached.started_ms = replica.started_ms;
        cached.used = now;
        Some(cached)
    }
}
