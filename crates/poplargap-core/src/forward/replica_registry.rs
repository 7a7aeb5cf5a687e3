use {
    super::{ReplicaEntry, ReplicaId, ReplicaState},
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Time that a live replica has to register again after the store was away.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// What became of a replica's registration.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum RegistryChange {
    /// It is new, or ready again.
    Joined,
    /// It is leaving.
    Leaving,
    /// It is no longer registered.
    Gone,
    /// Its registration lapsed while the store was away; it may come back.
    Lapsed,
    /// It runs under its id anew, or its entry changed otherwise.
    Changed,
}

/// The replicas of every service that take requests.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    ids: HashMap<ReplicaId, Arc<ReplicaEntry>>,
    services: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>,
}

impl ReplicaView {
    /// Returns the replicas of a service in the order of their ids.
    #[must_use]
    pub fn replicas(&self, service: &str) -> &[Arc<ReplicaEntry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the replica of an id.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&Arc<ReplicaEntry>> {
        self.ids.get(id)
    }

    /// Returns all replicas.
    pub fn all(&self) -> impl Iterator<Item = &Arc<ReplicaEntry>> {
        self.services.values().flatten()
    }
}

#[derive(Debug)]
struct RegistryRecord {
    entry: Arc<ReplicaEntry>,
    lapsed: bool,
}

/// What is known of the registrations, also while the store is away.
///
/// A registration that lapses while the store can't be read says nothing of its replica. It is
/// kept until the replica had time to register again.
#[derive(Debug, Default)]
pub struct ReplicaRegistry {
    grace_end: Option<MonotonicInstant>,
    is_store_down: bool,
    is_catching_up: bool,
    records: BTreeMap<ReplicaId, RegistryRecord>,
}

impl ReplicaRegistry {
    /// Records that the store can't be read.
    pub fn record_store_failure(&mut self) {
        self.is_store_down = true;
    }

    /// Records that the store is read again at `now`.
    ///
    /// Until [`finish_catch_up`](Self::finish_catch_up), what has vanished may have lapsed in the meantime.
    pub fn record_store_read(&mut self, now: MonotonicInstant) {
        if std::mem::take(&mut self.is_store_down) {
            self.grace_end = Some(now + REREGISTRATION_GRACE);
            self.is_catching_up = true;
        }
    }

    /// Records that all that happened while the store was away has been taken in.
    pub fn finish_catch_up(&mut self) {
        self.is_catching_up = false;
    }

    /// Returns when lapsed registrations are forgotten, if there are any and the store is read.
    #[must_use]
    pub fn grace_end(&self) -> Option<MonotonicInstant> {
        let lapsed = self.records.values().any(|record| record.lapsed);
        self.grace_end.filter(|_| lapsed && !self.is_store_down)
    }

    /// Takes in one registration.
    pub fn put(&mut self, entry: ReplicaEntry) -> Option<RegistryChange> {
        let known = self.records.get_mut(&entry.id);
        if let Some(record) = known {
            record.lapsed = false;
            if *record.entry == entry {
                return None;
            }
        }
        let before = self.records.get(&entry.id).map(|record| record.entry.state);
        let change = match (before, entry.state) {
            (Some(ReplicaState::Ready) | None, ReplicaState::Draining) => RegistryChange::Leaving,
            (Some(ReplicaState::Draining) | None, ReplicaState::Ready) => RegistryChange::Joined,
            (Some(_), _) => RegistryChange::Changed,
        };
        let id = Arc::clone(&entry.id);
        let record = RegistryRecord {
            entry: Arc::new(entry),
            lapsed: false,
        };
        self.records.insert(id, record);
        Some(change)
    }

    /// Takes in that a registration has vanished.
    pub fn remove(&mut self, id: &str) -> Option<RegistryChange> {
        let record = self.records.get_mut(id)?;
        let spared = self.is_catching_up && record.entry.state == ReplicaState::Ready;
        if spared {
            let lapsed = std::mem::replace(&mut record.lapsed, true);
            return (!lapsed).then_some(RegistryChange::Lapsed);
        }
        self.records.remove(id);
        Some(RegistryChange::Gone)
    }

    /// Takes in a whole listing; what it leaves out has vanished.
    pub fn replace(&mut self, entries: Vec<ReplicaEntry>) -> Vec<(ReplicaId, RegistryChange)> {
        let mut missing: Vec<ReplicaId> = self.records.keys().cloned().collect();
        missing.retain(|id| entries.iter().all(|entry| entry.id != *id));
        let mut changes = Vec::new();
        for entry in entries {
            let id = Arc::clone(&entry.id);
            changes.extend(self.put(entry).map(|change| (id, change)));
        }
        for id in missing {
            let change = self.remove(&id);
            changes.extend(change.map(|change| (id, change)));
        }
        changes
    }

    /// Forgets lapsed registrations whose replicas had time to come back.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<ReplicaId> {
        if self.is_store_down || self.grace_end.is_none_or(|end| end > now) {
            return Vec::new();
        }
        self.grace_end = None;
        let lapsed = self.records.extract_if(.., |_, record| record.lapsed);
        lapsed.map(|(id, _)| id).collect()
    }

    /// Returns the replicas that take requests.
    ///
    /// A lapsed one is left out unless most of its service has lapsed: then the store was away
    /// for the replicas, too, and their silence says nothing.
    #[must_use]
    pub fn view(&self) -> ReplicaView {
        let mut services: HashMap<&Arc<str>, ServiceRecords<'_>> = HashMap::default();
        let ready = |record: &&RegistryRecord| record.entry.state == ReplicaState::Ready;
        for record in self.records.values().filter(ready) {
            let records = services.entry(&record.entry.service).or_default();
            if record.lapsed {
                records.lapsed.push(&record.entry);
            } else {
                records.registered.push(&record.entry);
            }
        }
        let services: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>> = services
            .into_iter()
            .map(|(service, records)| (Arc::clone(service), records.usable()))
            .collect();
        let all = services.values().flatten();
        let ids = all.map(|entry| (Arc::clone(&entry.id), Arc::clone(entry)));
        ReplicaView {
            ids: ids.collect(),
            services,
        }
    }
}

/// The replicas of one service that said last that they are ready.
#[derive(Debug, Default)]
struct ServiceRecords<'a> {
    lapsed: Vec<&'a Arc<ReplicaEntry>>,
    registered: Vec<&'a Arc<ReplicaEntry>>,
}

impl ServiceRecords<'_> {
    fn usable(self) -> Vec<Arc<ReplicaEntry>> {
        let mut usable = self.registered;
        if self.lapsed.len() > usable.len() {
            usable.extend(self.lapsed);
            usable.sort_by(|a, b| a.id.cmp(&b.id));
        }
        usable.into_iter().map(Arc::clone).collect()
    }
}
