//! Random schedules of daemons that share crash reports through a store and datagrams.

use {
    crate::{at, identity, revision},
    poplargap_core::{
        forward::{
            CrashEvidence, CrashId, CrashReport, EvidenceChange, RequestIdentity, SoundNote,
            UnansweredCall,
        },
        store_position::StoreRevision,
    },
    proptest::prelude::*,
    std::collections::BTreeMap,
};

const DAEMONS: usize = 5;
const REPLICAS: usize = 14;

/// Part that all requests share.
const COMMON: u64 = 1;

/// Part that crashes the replicas of the first release and later ones; those before answer it.
const DEADLY: u64 = 0xdead;

/// Last part of a request that crashes replicas whenever it is sent.
const RETURNING: u64 = 0xfeed;

/// Time between two steps of a schedule, in milliseconds.
const STEP_MS: u64 = 100;

/// Time after which daemons that were cut from the store are in touch again, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Crashes from which the bound on further requests counts, and the requests that it allows.
const CRASHES: usize = 5;
const SENT_MAX: usize = 3;

/// One thing that happens in a step.
#[derive(Clone, Debug)]
enum Event {
    /// The caller of a daemon sends a request with the deadly part.
    Deadly(usize, usize),
    /// Some replicas crash together for another reason.
    Herd(usize),
    /// All replicas are replaced.
    Release,
    /// The caller of a daemon sends the request that returns.
    Returning(usize, usize),
    /// Sound requests are sent by all daemons and answered.
    Sound,
    /// The store goes for this number of steps.
    StoreDown(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let daemon_and_replica = || (0..DAEMONS, 0..REPLICAS);
    prop_oneof![
        24 => daemon_and_replica().prop_map(|(daemon, replica)| Event::Deadly(daemon, replica)),
        12 => daemon_and_replica().prop_map(|(daemon, replica)| Event::Returning(daemon, replica)),
        60 => Just(Event::Sound),
        2 => (4..9_usize).prop_map(Event::Herd),
        2 => Just(Event::Release),
        1 => (5..20_u64).prop_map(Event::StoreDown),
    ]
}

/// Requests that crash replicas, as the bound counts them.
#[derive(Debug, Default)]
struct Culprit {
    crashes: Vec<u64>,
    late: usize,
}

struct Fleet {
    daemons: Vec<CrashEvidence>,
    culprits: BTreeMap<u64, Culprit>,
    now_ms: u64,
    /// Whether a datagram is lost, in turn.
    losses: Vec<bool>,
    /// Changes that daemons haven't read yet, in the order of the store.
    changes: Vec<Vec<EvidenceChange>>,
    notes: BTreeMap<u64, (StoreRevision, SoundNote)>,
    /// Reports and notes that wait for the store.
    pending: Vec<(String, CrashReport)>,
    revision: u64,
    requests: u64,
    released: bool,
    started_ms: [u64; REPLICAS],
    store_down_until: u64,
    unstable_until: u64,
}

impl Fleet {
    fn new(losses: Vec<bool>) -> Self {
        Self {
            daemons: (0..DAEMONS).map(|_| CrashEvidence::default()).collect(),
            culprits: BTreeMap::new(),
            now_ms: 1_000,
            losses,
            changes: vec![Vec::new(); DAEMONS],
            notes: BTreeMap::new(),
            pending: Vec::new(),
            revision: 0,
            requests: 0,
            released: false,
            started_ms: [1; REPLICAS],
            store_down_until: 0,
            unstable_until: 0,
        }
    }

    fn step(&mut self, event: &Event) {
        self.now_ms += STEP_MS;
        match *event {
            Event::Deadly(daemon, replica) => {
                let parts = [COMMON, DEADLY, 10_000 + self.requests];
                if self.released {
                    self.send(DEADLY, daemon, replica, &parts);
                } else {
                    self.answer(daemon, replica, &parts);
                }
            }
            Event::Returning(daemon, replica) => {
                self.send(RETURNING, daemon, replica, &[COMMON, RETURNING]);
            }
            Event::Herd(count) => {
                for replica in 0..count {
                    self.crash(replica, None);
                }
            }
            Event::Release => {
                self.released = true;
                self.started_ms = [self.now_ms; REPLICAS];
            }
            Event::Sound => self.answer_sound(),
            Event::StoreDown(steps) => {
                self.store_down_until = self.now_ms + steps * STEP_MS;
                self.unstable_until = self.store_down_until + CONTACT_MS;
            }
        }
        if self.now_ms >= self.store_down_until {
            self.use_store();
        }
    }

    /// Sends a request that crashes its replica, unless it is refused.
    fn send(&mut self, culprit: u64, daemon: usize, replica: usize, parts: &[u64]) {
        self.requests += 1;
        let identity = identity(parts);
        if self.daemons[daemon]
            .blocked()
            .find(&identity, Some("w"))
            .is_some()
        {
            return;
        }
        let record = self.culprits.entry(culprit).or_default();
        let bound = record.crashes.get(CRASHES - 1).map(|at| at + CONTACT_MS);
        if bound.is_some_and(|bound| self.now_ms > bound) && self.now_ms > self.unstable_until {
            record.late += 1;
        }
        record.crashes.push(self.now_ms);
        self.crash(replica, Some((daemon, &identity)));
    }

    /// Crashes a replica on which each daemon has a sound request.
    fn crash(&mut self, replica: usize, deadly: Option<(usize, &RequestIdentity)>) {
        let id = CrashId {
            replica: format!("i-{replica}").into(),
            started_ms: self.started_ms[replica],
        };
        self.started_ms[replica] = self.now_ms;
        for daemon in 0..DAEMONS {
            self.requests += 1;
            let sound = identity(&[COMMON, 10_000 + self.requests]);
            let name = format!("r{}", self.requests);
            let mut calls = vec![UnansweredCall::new(&name, &sound, Some("w"))];
            if let Some((from, identity)) = deadly
                && from == daemon
            {
                let name = format!("d{}", self.requests);
                calls.push(UnansweredCall::new(&name, identity, Some("w")));
            }
            let report = CrashReport::new(id.clone(), self.now_ms, calls);
            let key = format!("{}/{daemon}", id.name());
            for receiver in 0..DAEMONS {
                if receiver == daemon || !self.is_lost() {
                    let now = at(self.now_ms);
                    self.daemons[receiver].record_direct(key.clone(), report.clone(), now);
                }
            }
            self.pending.push((key, report));
        }
    }

    /// Has each daemon get an answer from a replica that runs.
    fn answer_sound(&mut self) {
        for daemon in 0..DAEMONS {
            let replica = usize::try_from(self.requests).expect("a small number") % REPLICAS;
            self.answer(daemon, replica, &[COMMON, 10_000 + self.requests]);
        }
    }

    /// Sends a request that its replica answers, unless it is refused.
    fn answer(&mut self, daemon: usize, replica: usize, parts: &[u64]) {
        self.requests += 1;
        let identity = identity(parts);
        let evidence = &mut self.daemons[daemon];
        if evidence.blocked().find(&identity, Some("w")).is_none() {
            evidence.record_answer(&identity, self.started_ms[replica], at(self.now_ms));
        }
    }

    /// Writes what waits, and has all daemons read the changes.
    fn use_store(&mut self) {
        for (key, report) in std::mem::take(&mut self.pending) {
            let report = Some((self.position(), report));
            self.write(&EvidenceChange::Report(key, report));
        }
        for daemon in 0..DAEMONS {
            for missing in self.daemons[daemon].missing_notes(at(self.now_ms)) {
                let stored = self.notes.get(&missing.part).map(|(revision, _)| *revision);
                if stored == missing.replaces {
                    self.notes
                        .insert(missing.part, (self.position(), missing.note));
                    let note = Some((self.position(), missing.note));
                    self.write(&EvidenceChange::Note(missing.part, note));
                }
            }
        }
        for (daemon, changes) in self.daemons.iter_mut().zip(&mut self.changes) {
            daemon.apply(std::mem::take(changes), at(self.now_ms));
        }
    }

    fn position(&self) -> StoreRevision {
        revision(self.revision)
    }

    fn write(&mut self, change: &EvidenceChange) {
        self.revision += 1;
        for changes in &mut self.changes {
            changes.push(change.clone());
        }
    }

    fn is_lost(&mut self) -> bool {
        self.losses.rotate_left(1);
        self.losses[0]
    }

    /// Checks the bound, and that the daemons agree and refuse no part of all requests while they are
    /// in touch.
    fn check(&self) {
        for (culprit, record) in &self.culprits {
            assert!(
                record.late <= SENT_MAX,
                "{culprit:x} was sent {} times more",
                record.late
            );
        }
        if self.now_ms <= self.unstable_until {
            return;
        }
        let sound = identity(&[COMMON, 5]);
        for daemon in &self.daemons {
            let found = daemon.blocked().find(&sound, Some("w"));
            assert_eq!(found, None, "a part of all requests is refused");
        }
    }
}

/// Returns the number of schedules to play: that in `PROPTEST_CASES`, or few.
fn schedules() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES");
    let cases = cases.ok().and_then(|text| text.parse().ok());
    ProptestConfig::with_cases(cases.unwrap_or(12))
}

proptest! {
    #![proptest_config(schedules())]
    #[test]
    fn crashes_stay_bounded_and_sound_requests_free_under_any_schedule(
        events in prop::collection::vec(event(), 150..250),
        losses in prop::collection::vec(prop::bool::weighted(0.3), 17),
    ) {
        let mut fleet = Fleet::new(losses);
        for _ in 0..REPLICAS {
            fleet.step(&Event::Sound);
        }
        for event in &events {
            fleet.step(event);
            fleet.check();
        }
    }
}
