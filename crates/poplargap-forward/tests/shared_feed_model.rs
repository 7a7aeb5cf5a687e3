//! A model of the daemons of a data centre that share their reads of the store, under random
//! schedules of writes and faults.
//!
//! The decisions are the daemon's own (`ReaderRule`, `ChangeLog`); time, the store and the links
//! are plain data. Checked are that a view never goes back, that it has each change in time while
//! its daemon reaches the store, and that two daemons read the store in the steady state.

use {
    poplargap_core::{
        forward::{PeerEntry, PeerView, ReadSource, ReaderRule},
        instant::MonotonicInstant,
    },
    poplargap_forward::ChangeLog,
    poplargap_store::{StoreEra, StoreRevision, WatchBatch, WatchChange},
    proptest::{
        collection::vec, prelude::ProptestConfig, prop_assert, prop_assert_eq, proptest,
        test_runner::TestCaseError,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time in which a change must take effect.
const CHANGE_MS: u64 = 4_000;

/// Greatest age of a reader's view, as a share of `CHANGE_MS`; so are the following four.
const AGE_MAX_MS: u64 = CHANGE_MS * 55 / 100;
const POLL_TIMEOUT_MS: u64 = CHANGE_MS / 10;
const POLL_WAIT_MS: u64 = CHANGE_MS * 3 / 10;
const READ_PAUSE_MS: u64 = CHANGE_MS * 15 / 100;
const WATCH_WAIT_MS: u64 = CHANGE_MS / 4;

/// Pause after a poll.
const POLL_PAUSE_MS: u64 = 50;

/// Timeout of a read that the store doesn't answer.
const STORE_TIMEOUT_MS: u64 = 800;

/// Pause and wait of a daemon that reads the store for itself only.
const OWN_PAUSE_MS: u64 = 1_333;
const OWN_WAIT_MS: u64 = 2_767;

/// Time after a fault of its own during which a daemon may be late.
const CONTACT_MS: u64 = 5_000;

/// Length of one step of the model.
const STEP_MS: u64 = 50;

/// Time for which a schedule is played on after its last fault.
const CALM_MS: u64 = 20_000;

const DAEMONS: usize = 8;

/// What a daemon waits for.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    /// The answer of a poll, until its wait ends.
    Poll { reader: usize, until: u64 },
    /// The timeout of a poll of a reader that doesn't answer.
    PollTimeout { reader: usize, until: u64 },
    /// The end of a pause.
    Pause { until: u64 },
    /// The timeout of a read that the store doesn't answer.
    StoreTimeout { until: u64 },
    /// A change, in a watch of the store.
    Watch { until: u64, pause: u64 },
}

/// One fault of a schedule; it lasts for a time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The daemon is killed and restarts at the end.
    Kill,
    /// The daemon doesn't run, but its connections stay open.
    Freeze,
    /// The daemon can't reach the store; calls time out.
    StoreCut,
    /// The daemon can't be reached by the others; polls time out.
    PeerCut,
}

const FAULTS: [Fault; 4] = [Fault::Kill, Fault::Freeze, Fault::StoreCut, Fault::PeerCut];

#[derive(Debug)]
struct Daemon {
    /// Ends of the faults in the order of `FAULTS`.
    faulty_until: [u64; 4],
    /// Time since which the daemon has run and reached the store.
    in_touch_since: u64,
    log: ChangeLog,
    rule: ReaderRule,
    source: ReadSource,
    /// Revision of the daemon's view.
    view: u64,
    waiting: Waiting,
}

#[derive(Debug)]
struct Model {
    daemons: Vec<Daemon>,
    /// Direct reads of the store, by time.
    reads: Vec<u64>,
    now: u64,
    /// Times of the store's writes; the revision is the number of writes.
    writes: Vec<u64>,
}

fn address(number: usize) -> SocketAddr {
    let last = u8::try_from(number + 1).expect("few daemons");
    ([10, 1, 0, last], 7_200).into()
}

fn number(address: SocketAddr) -> usize {
    (0..DAEMONS)
        .find(|number| self::address(*number) == address)
        .expect("a known daemon")
}

fn rule(own: usize) -> ReaderRule {
    let entry = |number: usize| PeerEntry {
        address: address(number),
        data_centre: "ne1".into(),
    };
    let entries: Vec<PeerEntry> = (0..DAEMONS).map(entry).collect();
    let mut rule = ReaderRule::new(address(own), "ne1");
    rule.update(&PeerView::new(&entries, address(own)));
    rule
}

/// Returns the wait of a watch in milliseconds.
fn store_wait(rule: &ReaderRule, wait_ms: u64) -> u64 {
    let wait = rule.store_wait(Duration::from_millis(wait_ms));
    u64::try_from(wait.as_millis()).expect("a short wait")
}

impl Model {
    fn new() -> Self {
        let daemon = |own: usize| Daemon {
            faulty_until: [0; 4],
            in_touch_since: 0,
            log: ChangeLog::default(),
            rule: rule(own),
            source: ReadSource::Store,
            view: 0,
            waiting: Waiting::Pause { until: 0 },
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            reads: Vec::new(),
            now: 0,
            writes: Vec::new(),
        }
    }

    fn instant(&self) -> MonotonicInstant {
        MonotonicInstant::from_start(Duration::from_millis(self.now))
    }

    fn revision(&self) -> u64 {
        self.writes.len() as u64
    }

    fn has(&self, daemon: usize, fault: Fault) -> bool {
        self.daemons[daemon].faulty_until[fault as usize] > self.now
    }

    fn inject(&mut self, daemon: usize, fault: Fault, length: u64) {
        let end = self.now + length;
        let target = &mut self.daemons[daemon];
        target.faulty_until[fault as usize] = end;
        if matches!(fault, Fault::Kill) {
            target.log.stop();
            target.rule = rule(daemon);
            target.view = 0;
            target.waiting = Waiting::Pause { until: end };
        }
        if !matches!(fault, Fault::PeerCut) {
            target.in_touch_since = target.in_touch_since.max(end);
        }
    }

    /// Plays one step of time; daemons act in turn.
    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now += STEP_MS;
        for daemon in 0..DAEMONS {
            let stands = self.has(daemon, Fault::Kill) || self.has(daemon, Fault::Freeze);
            if !stands {
                let before = self.daemons[daemon].view;
                self.act(daemon);
                prop_assert!(self.daemons[daemon].view >= before, "the view went back");
            }
        }
        self.check()
    }

    /// Lets a daemon act until it waits for something that hasn't come.
    fn act(&mut self, own: usize) {
        match self.daemons[own].waiting {
            Waiting::Poll { reader, until } => self.poll(own, reader, until),
            Waiting::PollTimeout { reader, until } => {
                if until <= self.now {
                    self.reader_failed(own, reader);
                }
            }
            Waiting::Pause { until } => {
                if until <= self.now {
                    self.begin_read(own);
                }
            }
            Waiting::StoreTimeout { until } => {
                if until <= self.now {
                    self.daemons[own].rule.record_store_read(false);
                    self.pause(own, POLL_PAUSE_MS);
                }
            }
            Waiting::Watch { until, pause } => {
                if self.has(own, Fault::StoreCut) {
                    let until = until + STORE_TIMEOUT_MS;
                    self.daemons[own].waiting = Waiting::StoreTimeout { until };
                } else if self.daemons[own].view < self.revision() || until <= self.now {
                    self.read(own, pause);
                }
            }
        }
    }

    fn begin_read(&mut self, own: usize) {
        let now = self.instant();
        let daemon = &mut self.daemons[own];
        daemon.source = daemon.rule.source(now);
        if daemon.source == ReadSource::StoreForOthers && !daemon.log.is_started() {
            daemon
                .log
                .start(StoreRevision::new(StoreEra::default(), daemon.view), now);
        }
        let until = self.now;
        let waiting = match daemon.source {
            ReadSource::Daemon(reader) => Waiting::Poll {
                reader: number(reader),
                until: until + POLL_WAIT_MS,
            },
            ReadSource::Store => Waiting::Watch {
                until: until + store_wait(&daemon.rule, OWN_WAIT_MS),
                pause: OWN_PAUSE_MS,
            },
            ReadSource::StoreForOthers => Waiting::Watch {
                until: until + store_wait(&daemon.rule, WATCH_WAIT_MS),
                pause: READ_PAUSE_MS,
            },
        };
        daemon.waiting = waiting;
    }

    fn poll(&mut self, own: usize, reader: usize, until: u64) {
        if self.has(reader, Fault::Kill) {
            return self.reader_failed(own, reader);
        }
        if self.has(reader, Fault::Freeze) || self.has(reader, Fault::PeerCut) {
            let until = until + POLL_TIMEOUT_MS;
            self.daemons[own].waiting = Waiting::PollTimeout { reader, until };
            return;
        }
        let after = StoreRevision::new(StoreEra::default(), self.daemons[own].view);
        let answer = self.daemons[reader].log.since(after, self.instant());
        match answer {
            Err(_) => self.reader_failed(own, reader),
            Ok(batch) if batch.age_ms >= AGE_MAX_MS => self.reader_failed(own, reader),
            Ok(batch) if batch.changes.is_empty() && self.now < until => {}
            Ok(batch) => {
                let daemon = &mut self.daemons[own];
                daemon.view = daemon.view.max(batch.revision.number());
                daemon.rule.record_success(&address(reader));
                self.pause(own, POLL_PAUSE_MS);
            }
        }
    }

    fn reader_failed(&mut self, own: usize, reader: usize) {
        let now = self.instant();
        self.daemons[own].rule.record_failure(address(reader), now);
        if self.has(own, Fault::StoreCut) {
            let until = self.now + STORE_TIMEOUT_MS;
            self.daemons[own].waiting = Waiting::StoreTimeout { until };
        } else {
            self.read(own, POLL_PAUSE_MS);
        }
    }

    /// Reads the store, which answers at once.
    fn read(&mut self, own: usize, pause: u64) {
        self.reads.push(self.now);
        let (now, revision) = (self.instant(), self.revision());
        let daemon = &mut self.daemons[own];
        let change = |revision: u64| WatchChange {
            key: format!("servers/{}", revision % 5),
            revision: StoreRevision::new(StoreEra::default(), revision),
            value: Some(revision.to_string()),
        };
        let batch = WatchBatch {
            changes: (daemon.view + 1..=revision).map(change).collect(),
            revision: StoreRevision::new(StoreEra::default(), revision),
        };
        daemon.rule.record_store_read(true);
        daemon.log.append(&batch, false, now);
        daemon.view = revision;
        self.pause(own, pause);
    }

    fn pause(&mut self, own: usize, pause: u64) {
        let until = self.now + pause;
        self.daemons[own].waiting = Waiting::Pause { until };
    }

    /// Checks that daemons that have been in touch for long enough have all changes in time.
    fn check(&self) -> Result<(), TestCaseError> {
        let due = self.now.saturating_sub(CHANGE_MS);
        let must_have = self.writes.partition_point(|at| *at < due) as u64;
        for (number, daemon) in self.daemons.iter().enumerate() {
            if self.now >= daemon.in_touch_since + CONTACT_MS {
                prop_assert!(
                    daemon.view >= must_have,
                    "daemon {number} is at {} of {must_have} at {} ms",
                    daemon.view,
                    self.now
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn changes_reach_every_daemon_in_time(
        events in vec((0_u64..3_000, 0_usize..DAEMONS, 0_usize..8, 100_u64..8_000), 1..24),
    ) {
        let mut model = Model::new();
        let mut last_end = 0;
        for (gap, daemon, kind, length) in events {
            let at = model.now + gap;
            while model.now < at {
                model.step()?;
            }
            if let Some(fault) = FAULTS.get(kind) {
                model.inject(daemon, *fault, length);
                last_end = last_end.max(model.now + length);
            } else {
                model.writes.push(model.now);
            }
        }
        let end = last_end.max(model.now) + CALM_MS;
        while model.now < end {
            if model.now.is_multiple_of(500) {
                model.writes.push(model.now);
            }
            model.step()?;
        }
        let readers = model.daemons.iter().filter(|daemon| daemon.source == ReadSource::StoreForOthers);
        prop_assert_eq!(readers.count(), 2);
        let calm = model.reads.iter().filter(|at| **at + 2_000 >= end).count();
        prop_assert!(calm <= 2 * 5, "{calm} reads in 2 s");
    }
}
