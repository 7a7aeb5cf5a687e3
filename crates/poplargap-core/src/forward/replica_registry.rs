use {
    super::{ReplicaEntry, ReplicaId, ReplicaState},
    crate::{
        collections::{HashMap, HashSet},
        instant::MonotonicInstant,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Time for a running replica to register again after an outage of the store.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Time for which a replica that left is remembered; a copy of the store from before may still have
/// its registration.
const DEPARTURE_TIME: Duration = Duration::from_mins(2);

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
    /// The registration expired during an outage of the store, or is missing from the copy from which
    /// the store came back, and may be renewed.
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

/// Why a registration is kept though the store lacks it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LapseCause {
    /// The store came back from a copy that doesn't have it.
    Copy,
    /// It expired during an outage of the store.
    Outage,
}

#[derive(Debug)]
struct RegistryRecord {
    entry: Arc<ReplicaEntry>,
    lapse: Option<LapseCause>,
}

/// Which of a replica's writes a registration is: later ones are greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WriteOrder {
    started_ms: u64,
    sequence: u64,
}

impl From<&ReplicaEntry> for WriteOrder {
    fn from(entry: &ReplicaEntry) -> Self {
        Self {
            started_ms: entry.started_ms,
            sequence: entry.sequence,
        }
    }
}

/// A replica that is no longer registered.
#[derive(Clone, Copy, Debug)]
struct DepartedReplica {
    at: MonotonicInstant,
    last: WriteOrder,
}

/// The registrations of replicas, which outlast outages of the store.
///
/// A registration that expires during an outage doesn't mean that its replica is gone, since the
/// outage may have kept the replica from renewing it. The registration is kept until the replica
/// has had time to register again.
#[derive(Debug, Default)]
pub struct ReplicaRegistry {
    departed: HashMap<ReplicaId, DepartedReplica>,
    grace_end: Option<MonotonicInstant>,
    is_store_down: bool,
    is_catching_up: bool,
    read_at: MonotonicInstant,
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
        self.read_at = now;
        self.departed
            .retain(|_, departed| now.since(departed.at) < DEPARTURE_TIME);
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
        let has_lapsed = self.lapsed_count() > 0;
        self.grace_end.filter(|_| has_lapsed && !self.is_store_down)
    }

    /// Returns the number of registrations that are kept though the store lacks them.
    #[must_use]
    pub fn lapsed_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.lapse.is_some()).count()
    }

    /// Adds or updates a registration; returns the change, if any.
    pub fn put(&mut self, entry: ReplicaEntry) -> Option<RegistryChange> {
        self.departed.remove(&entry.id);
        let known = self.records.get_mut(&entry.id);
        if let Some(record) = known {
            let lapse = record.lapse.take();
            if *record.entry == entry {
                return lapse.map(|_| RegistryChange::Joined);
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
            lapse: None,
        };
        self.records.insert(id, record);
        Some(change)
    }

    /// Removes a registration, or marks it as lapsed if it may be renewed.
    pub fn remove(&mut self, id: &str) -> Option<RegistryChange> {
        let record = self.records.get_mut(id)?;
        let may_return = self.is_catching_up && record.entry.state == ReplicaState::Ready;
        if may_return {
            let lapse = record.lapse.replace(LapseCause::Outage);
            return lapse.is_none().then_some(RegistryChange::Lapsed);
        }
        let last = WriteOrder::from(record.entry.as_ref());
        if let Some((id, _)) = self.records.remove_entry(id) {
            self.record_departure(id, last);
        }
        Some(RegistryChange::Gone)
    }

    fn record_departure(&mut self, id: ReplicaId, last: WriteOrder) {
        let at = self.read_at;
        self.departed.insert(id, DepartedReplica { at, last });
    }

    /// Replaces all registrations by a listing; returns the changes.
    ///
    /// Those that a copy of the store lacks keep their time to be written again.
    pub fn replace(&mut self, entries: Vec<ReplicaEntry>) -> Vec<(ReplicaId, RegistryChange)> {
        let known = self.records.iter();
        let known = known.filter(|(_, record)| record.lapse != Some(LapseCause::Copy));
        let mut missing: Vec<ReplicaId> = known.map(|(id, _)| Arc::clone(id)).collect();
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

    /// Takes over a listing of a store that came back from a copy at `now`; returns the changes.
    ///
    /// A registration in the copy that is older than what was known, or of a replica that has left,
    /// has no effect. One that is missing is kept until its replica has had time to write it again.
    pub fn replace_in_new_era(
        &mut self,
        entries: Vec<ReplicaEntry>,
        now: MonotonicInstant,
    ) -> Vec<(ReplicaId, RegistryChange)> {
        self.grace_end = Some(now + REREGISTRATION_GRACE);
        let listed: HashSet<ReplicaId> =
            entries.iter().map(|entry| Arc::clone(&entry.id)).collect();
        let mut changes = Vec::new();
        for entry in entries {
            if self.is_outdated(&entry) {
                continue;
            }
            let id = Arc::clone(&entry.id);
            changes.extend(self.put(entry).map(|change| (id, change)));
        }
        for (id, record) in &mut self.records {
            if !listed.contains(id) && record.lapse.replace(LapseCause::Copy).is_none() {
                changes.push((Arc::clone(id), RegistryChange::Lapsed));
            }
        }
        changes
    }

    /// Returns whether a registration from a copy is older than what was known of its replica.
    fn is_outdated(&self, entry: &ReplicaEntry) -> bool {
        let order = WriteOrder::from(entry);
        let known = self.records.get(&entry.id);
        let departed = self.departed.get(&entry.id);
        known.is_some_and(|known| order < WriteOrder::from(known.entry.as_ref()))
            || departed.is_some_and(|departed| order <= departed.last)
    }

    /// Removes the lapsed registrations after the grace period; returns their ids.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<ReplicaId> {
        if self.is_store_down || self.grace_end.is_none_or(|end| end > now) {
            return Vec::new();
        }
        self.grace_end = None;
        let lapsed = self
            .records
            .extract_if(.., |_, record| record.lapse.is_some());
        let lapsed: Vec<(ReplicaId, RegistryRecord)> = lapsed.collect();
        let mut ids = Vec::with_capacity(lapsed.len());
        for (id, record) in lapsed {
            self.record_departure(Arc::clone(&id), WriteOrder::from(record.entry.as_ref()));
            ids.push(id);
        }
        ids
    }

    /// Returns the replicas that accept requests.
    ///
    /// Those that lapsed during an outage are left out unless most of their service has lapsed: then the
    /// outage kept the replicas from renewing their registrations, too.
    #[must_use]
    pub fn view(&self) -> ReplicaView {
        let mut services: HashMap<&Arc<str>, ServiceRecords<'_>> = HashMap::default();
        let ready = |record: &&RegistryRecord| record.entry.state == ReplicaState::Ready;
        for record in self.records.values().filter(ready) {
            let records = services.entry(&record.entry.service).or_default();
            if record.lapse == Some(LapseCause::Outage) {
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
