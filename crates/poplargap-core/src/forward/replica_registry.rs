use {
    super::{ReplicaEntry, ReplicaId, ReplicaState},
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Time for a running replica to register again after an outage of the store.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// How a replica's registration changed.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum RegistryChange {
    /// The replica is new, or ready again.
    Joined,
    /// The replica is draining.
    Leaving,
    /// The replica is no longer registered.
    Gone,
    /// The registration expired during an outage of the store and may be renewed.
    Lapsed,
    /// The replica restarted with the same id, or its entry changed otherwise.
    Changed,
}

/// The replicas that accept requests, by service and by id.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    draining: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>,
    ids: HashMap<ReplicaId, Arc<ReplicaEntry>>,
    services: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>>,
}

impl ReplicaView {
    /// Returns the replicas of a service, sorted by id.
    #[must_use]
    pub fn replicas(&self, service: &str) -> &[Arc<ReplicaEntry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the replicas of a service that finish their open requests and take no new ones.
    #[must_use]
    pub fn draining(&self, service: &str) -> &[Arc<ReplicaEntry>] {
        self.draining.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the replica with an id.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&Arc<ReplicaEntry>> {
        self.ids.get(id)
    }

    /// Returns the number of replicas in a data centre.
    #[must_use]
    pub fn count_in(&self, centre: &str) -> usize {
        let all = self.all();
        all.filter(|replica| replica.data_centre.as_ref() == centre)
            .count()
    }

    /// Returns the replicas of all services.
    pub fn all(&self) -> impl Iterator<Item = &Arc<ReplicaEntry>> {
        self.services.values().flatten()
    }
}

#[derive(Debug)]
struct RegistryRecord {
    entry: Arc<ReplicaEntry>,
    lapsed: bool,
}

/// The registrations of replicas, which outlast outages of the store.
///
/// A registration that expires during an outage doesn't mean that its replica is gone, since the
/// outage may have kept the replica from renewing it. The registration is kept until the replica
/// has had time to register again.
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

    /// Records that the store was read at `now`.
    ///
    /// After an outage, registrations that are removed before
    /// [`finish_catch_up`](Self::finish_catch_up) may have expired during it.
    pub fn record_store_read(&mut self, now: MonotonicInstant) {
        if std::mem::take(&mut self.is_store_down) {
            self.grace_end = Some(now + REREGISTRATION_GRACE);
            self.is_catching_up = true;
        }
    }

    /// Records that all changes from the outage have been applied.
    pub fn finish_catch_up(&mut self) {
        self.is_catching_up = false;
    }

    /// Returns when lapsed registrations are removed; `None` without any or during an outage.
    #[must_use]
    pub fn grace_end(&self) -> Option<MonotonicInstant> {
        let lapsed = self.records.values().any(|record| record.lapsed);
        self.grace_end.filter(|_| lapsed && !self.is_store_down)
    }

    /// Adds or updates a registration; returns the change, if any.
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

    /// Removes a registration, or marks it as lapsed if it may be renewed.
    pub fn remove(&mut self, id: &str) -> Option<RegistryChange> {
        let record = self.records.get_mut(id)?;
        let may_return = self.is_catching_up && record.entry.state == ReplicaState::Ready;
        if may_return {
            let lapsed = std::mem::replace(&mut record.lapsed, true);
            return (!lapsed).then_some(RegistryChange::Lapsed);
        }
        self.records.remove(id);
        Some(RegistryChange::Gone)
    }

    /// Replaces all registrations by a listing; returns the changes.
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

    /// Removes the lapsed registrations after the grace period; returns their ids.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<ReplicaId> {
        if self.is_store_down || self.grace_end.is_none_or(|end| end > now) {
            return Vec::new();
        }
        self.grace_end = None;
        let lapsed = self.records.extract_if(.., |_, record| record.lapsed);
        lapsed.map(|(id, _)| id).collect()
    }

    /// Returns the replicas that accept requests.
    ///
    /// Lapsed ones are left out unless most of their service has lapsed: then the outage kept the
    /// replicas from renewing their registrations, too.
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
            .map(|(service, records)| (Arc::clone(service), records.into_usable()))
            .collect();
        let all = services.values().flatten();
        let ids = all.map(|entry| (Arc::clone(&entry.id), Arc::clone(entry)));
        ReplicaView {
            draining: self.draining(),
            ids: ids.collect(),
            services,
        }
    }
}

impl ReplicaRegistry {
    /// Returns the draining replicas by service.
    fn draining(&self) -> HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>> {
        let mut draining: HashMap<Arc<str>, Vec<Arc<ReplicaEntry>>> = HashMap::default();
        let entries = self.records.values().map(|record| &record.entry);
        for entry in entries.filter(|entry| entry.state == ReplicaState::Draining) {
            let service = Arc::clone(&entry.service);
            draining.entry(service).or_default().push(Arc::clone(entry));
        }
        draining
    }
}

/// The replicas of one service whose last registered state is ready.
#[derive(Debug, Default)]
struct ServiceRecords<'a> {
    lapsed: Vec<&'a Arc<ReplicaEntry>>,
    registered: Vec<&'a Arc<ReplicaEntry>>,
}

impl ServiceRecords<'_> {
    fn into_usable(self) -> Vec<Arc<ReplicaEntry>> {
        let mut usable = self.registered;
        if self.lapsed.len() > usable.len() {
            usable.extend(self.lapsed);
            usable.sort_by(|a, b| a.id.cmp(&b.id));
        }
        usable.into_iter().map(Arc::clone).collect()
    }
}
