//! Plays the decisions of many daemons before a service with few slots, in virtual time.

use {
    crate::{at, replica},
    poplargap_core::forward::{
        ChoiceRequest, ColdLimit, FleetDemand, LoadReport, PeerReport, PlaceFilter, ReplicaEntry,
        ReplicaPace, ReplicaTracker, RoomRequest, RoomShare, RoomStep, RoomView, ServiceDemand,
        ShortRoom, WaitEntry, WaitQueue, WaitTicket, choose_by_time, load_factor, nominal_rate,
        room_step, timed_replicas,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

const SLOTS: u32 = 6;
const QUEUE_MAX: usize = 24;
const REPLICAS: usize = 3;
const DAEMONS: usize = 138;

/// Mean time of a request's work at the usual pace.
const WORK_MS: u64 = 30;

/// Time from a daemon to a replica and back.
const WIRE_MS: u64 = 3;

const TARGET_MS: u64 = 150;
const DEADLINE_MS: u64 = 1_200;

/// First pause between two digests of a daemon, and the number of daemons that get each.
const ROUND_MS: u64 = 200;
const RECEIVERS: usize = 30;

/// Length of a play.
const PLAY_MS: u64 = 15_000;

/// Greatest share of the arrivals that replicas may reject.
const REJECTED_MAX: f64 = 0.03;

/// Least share of the slots that are in use while a request waits.
const USED_MIN: f64 = 0.9;

/// Time between two changes of the replicas' paces.
const PACE_MS: u64 = 600;

const FACTORS: [f64; 2] = [1.0, 2.5];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Decide(usize),
    Reach {
        call: usize,
        replica: usize,
    },
    Finish {
        call: usize,
        replica: usize,
    },
    Answer {
        call: usize,
        replica: usize,
        is_rejected: bool,
    },
    Exchange(usize),
    ChangePaces,
}

/// The load and the faults of one play.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests for what the replicas can serve at their usual pace.
    ratio: f64,
    /// Requests that arrive together.
    clump: u64,
    /// Whether the load swings by half within 15 s.
    is_wave: bool,
    /// Share of the digests that are lost.
    lost_digests: f64,
    /// Time at which a replica is lost for good.
    lost_replica_ms: Option<u64>,
    /// Share of the time in which a replica takes 2.5 times as long.
    slow_share: f64,
}

const CALM: Load = Load {
    ratio: 0.7,
    clump: 1,
    is_wave: false,
    lost_digests: 0.0,
    lost_replica_ms: None,
    slow_share: 0.0,
};

#[derive(Debug)]
struct Call {
    arrived_ms: u64,
    daemon: usize,
    expected: f64,
    point: f64,
    factor: f64,
    priority: u8,
    sent_ms: u64,
    ticket: Option<WaitTicket>,
    tries: u32,
}

#[derive(Debug)]
struct Server {
    is_lost: bool,
    pace: f64,
    queue: VecDeque<usize>,
    running: usize,
}

#[derive(Debug, Default)]
struct Tally {
    arrivals: usize,
    held_in_vain: usize,
    in_time: [usize; 2],
    late: [usize; 2],
    calls: [usize; 2],
    refused: [usize; 2],
    rejected: usize,
    slot_ms_while_waiting: u64,
    busy_ms_while_waiting: u64,
}

impl Tally {
    fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.arrivals.max(1) as f64
    }

    fn used_share(&self) -> f64 {
        self.busy_ms_while_waiting as f64 / self.slot_ms_while_waiting.max(1) as f64
    }

    fn in_time_share(&self) -> f64 {
        let (in_time, calls): (usize, usize) = (self.in_time.iter().sum(), self.calls.iter().sum());
        in_time as f64 / calls.max(1) as f64
    }
}

/// What one daemon tells another.
#[derive(Clone, Debug)]
struct Digest {
    demands: Vec<ServiceDemand>,
    from: usize,
    reports: Vec<(u64, PeerReport)>,
}

struct Fleet {
    calls: Vec<Call>,
    entries: Vec<Arc<ReplicaEntry>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    load: Load,
    demands: Vec<FleetDemand>,
    inboxes: Vec<Vec<Digest>>,
    next: u64,
    now_ms: u64,
    queues: Vec<WaitQueue>,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    shares: Vec<RoomShare>,
    tally: Tally,
    trackers: Vec<ReplicaTracker>,
}

impl Fleet {
    fn play(load: Load, seed: u64, length_ms: u64) -> Tally {
        let entries = (0..REPLICAS).map(|number| {
            Arc::new(ReplicaEntry {
                slots: SLOTS,
                ..replica(number, ["ne1", "ne2", "ne3"][number % 3])
            })
        });
        let server = || Server {
            is_lost: false,
            pace: 1.0,
            queue: VecDeque::new(),
            running: 0,
        };
        let mut fleet = Self {
            calls: Vec::new(),
            entries: entries.collect(),
            events: BinaryHeap::new(),
            load,
            demands: (0..DAEMONS).map(|_| FleetDemand::default()).collect(),
            inboxes: vec![Vec::new(); DAEMONS],
            shares: (0..DAEMONS).map(|_| RoomShare::new(at(0))).collect(),
            next: 0,
            now_ms: 0,
            queues: (0..DAEMONS).map(|_| WaitQueue::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: (0..REPLICAS).map(|_| server()).collect(),
            tally: Tally::default(),
            trackers: (0..DAEMONS).map(|_| ReplicaTracker::default()).collect(),
        };
        fleet.push(0, Event::Arrive);
        fleet.push(0, Event::ChangePaces);
        for daemon in 0..DAEMONS {
            let phase = fleet.rng.random_range(0..ROUND_MS);
            fleet.push(phase, Event::Exchange(daemon));
        }
        while let Some(Reverse((ms, _, event))) = fleet.events.pop() {
            if ms > length_ms {
                break;
            }
            fleet.count_use(ms);
            fleet.now_ms = ms;
            fleet.step(event);
        }
        fleet.tally
    }

    fn push(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((ms, self.next, event)));
    }

    /// Counts the slots and those in use until `ms`, if a request waits at a daemon.
    fn count_use(&mut self, ms: u64) {
        let passed = ms - self.now_ms;
        if passed == 0 || self.queues.iter().all(WaitQueue::is_empty) {
            return;
        }
        for server in self.servers.iter().filter(|server| !server.is_lost) {
            self.tally.slot_ms_while_waiting += passed * u64::from(SLOTS);
            self.tally.busy_ms_while_waiting += passed * server.running as u64;
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Decide(call) => self.decide(call),
            Event::Reach { call, replica } => self.reach(call, replica),
            Event::Finish { call, replica } => self.finish(call, replica),
            Event::Answer {
                call,
                replica,
                is_rejected,
            } => self.answer(call, replica, is_rejected),
            Event::Exchange(daemon) => self.exchange(daemon),
            Event::ChangePaces => self.change_paces(),
        }
    }

    fn arrive(&mut self) {
        for _ in 0..self.load.clump {
            let priority = if self.rng.random_bool(0.2) { 0 } else { 2 };
            self.tally.calls[usize::from(priority > 0)] += 1;
            let call = self.calls.len();
            let daemon = self.rng.random_range(0..DAEMONS);
            self.demands[daemon].record_own(&Arc::from("model"), at(self.now_ms));
            self.calls.push(Call {
                arrived_ms: self.now_ms,
                daemon,
                expected: 0.0,
                point: self.rng.random(),
                factor: 1.0,
                priority,
                sent_ms: 0,
                ticket: None,
                tries: 0,
            });
            self.decide(call);
        }
        let served_per_ms = f64::from(SLOTS) * REPLICAS as f64 / WORK_MS as f64;
        let phase = self.now_ms as f64 / 15_000.0 * std::f64::consts::TAU;
        let swing = if self.load.is_wave {
            0.5 * phase.sin()
        } else {
            0.0
        };
        let mean = self.load.clump as f64 / (served_per_ms * self.load.ratio * (1.0 + swing));
        let pause = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.push(self.now_ms + pause.round() as u64, Event::Arrive);
    }

    fn decide(&mut self, index: usize) {
        let now = at(self.now_ms);
        let call = &self.calls[index];
        let daemon = call.daemon;
        let passed = self.now_ms - call.arrived_ms;
        let left = |end: u64| Duration::from_millis(end.saturating_sub(passed));
        let entry = WaitEntry {
            deadline: now + left(DEADLINE_MS),
            priority: call.priority,
            target: now + left(TARGET_MS),
        };
        let hash = self.rng.random();
        let request = ChoiceRequest {
            body_bytes: 800,
            cold: ColdLimit::default(),
            daemons: DAEMONS,
            data_centre: ["ne1", "ne2", "ne3"][daemon % 3],
            drain: Duration::from_secs(2),
            excluded: &[],
            key: None,
            leave: None,
            now,
            places: PlaceFilter::default(),
            prefers_local: false,
            request_hash: hash,
            shared_tokens: 0,
        };
        let tracker = &self.trackers[daemon];
        let work = tracker.work_time("model");
        let left_count = self.servers.iter().filter(|server| !server.is_lost).count();
        let timed = timed_replicas(&self.entries[..left_count], tracker, &request, work);
        let queue = &self.queues[daemon];
        let (number, step) = match &timed {
            // A daemon that knows nothing yet sends.
            None => ((hash % left_count as u64) as usize, RoomStep::Send),
            Some(timed) => {
                let chosen = choose_by_time(timed, hash).expect("a replica is left");
                let mean = timed.iter().map(|timed| timed.queue).sum::<f64>() / timed.len() as f64;
                let demand = self.demands[daemon].per_second("model", DAEMONS, now);
                let nominal = nominal_rate(timed, work);
                let share = self.shares[daemon].update(nominal, demand, mean, now);
                let room = RoomRequest {
                    look: self.rng.random(),
                    share,
                    point: call.point,
                    priority: call.priority,
                    target_left: left(TARGET_MS),
                    time_left: left(DEADLINE_MS),
                    waited: Duration::from_millis(passed),
                };
                let view = RoomView {
                    expected: chosen.time,
                    queue: chosen.queue,
                };
                let is_turn = match call.ticket {
                    Some(ticket) => queue.first(now) == Some(ticket),
                    None => !queue.precedes(&entry, now),
                };
                let step = match room_step(&room, &view) {
                    RoomStep::Send if !is_turn => RoomStep::Wait(Duration::from_millis(40)),
                    step => step,
                };
                let number = self.entries.iter();
                let number = number
                    .clone()
                    .position(|entry| entry.id == chosen.replica.id);
                let number = number.expect("a known replica");
                let call = &mut self.calls[index];
                call.factor = load_factor(chosen.requests, SLOTS, chosen.pace);
                call.expected = chosen.time.as_secs_f64();
                (number, step)
            }
        };
        match step {
            RoomStep::Send => self.send(index, number),
            RoomStep::Wait(pause) => {
                let queue = &mut self.queues[daemon];
                let ticket = &mut self.calls[index].ticket;
                ticket.get_or_insert_with(|| queue.join(entry));
                let pause = pause.as_millis() as u64;
                self.push(self.now_ms + pause.max(1), Event::Decide(index));
            }
            RoomStep::Refuse(reason) => {
                self.leave_queue(index);
                let call = &self.calls[index];
                self.tally.refused[usize::from(call.priority > 0)] += 1;
                let is_lost = passed >= DEADLINE_MS;
                self.tally.held_in_vain += usize::from(is_lost && reason == ShortRoom::NoTime);
            }
        }
    }

    fn leave_queue(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if let Some(ticket) = call.ticket.take() {
            self.queues[call.daemon].leave(ticket);
        }
    }

    fn send(&mut self, index: usize, replica: usize) {
        self.leave_queue(index);
        let call = &mut self.calls[index];
        call.sent_ms = self.now_ms;
        call.tries += 1;
        self.trackers[call.daemon].begin(&self.entries[replica], at(self.now_ms));
        let reaches = self.now_ms + WIRE_MS / 2;
        self.push(
            reaches,
            Event::Reach {
                call: index,
                replica,
            },
        );
    }

    fn reach(&mut self, call: usize, replica: usize) {
        self.tally.arrivals += 1;
        let server = &mut self.servers[replica];
        if server.running < SLOTS as usize {
            server.running += 1;
            self.run(call, replica);
        } else if server.queue.len() < QUEUE_MAX {
            server.queue.push_back(call);
        } else {
            self.tally.rejected += 1;
            self.reply(call, replica, true);
        }
    }

    fn run(&mut self, call: usize, replica: usize) {
        let work = self.rng.random_range(WORK_MS / 2..=WORK_MS * 3 / 2) as f64;
        let time = (work * self.servers[replica].pace).round() as u64;
        self.push(self.now_ms + time, Event::Finish { call, replica });
    }

    fn finish(&mut self, call: usize, replica: usize) {
        let server = &mut self.servers[replica];
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            server.running += 1;
            self.run(next, replica);
        }
        self.reply(call, replica, false);
    }

    fn reply(&mut self, call: usize, replica: usize, is_rejected: bool) {
        let arrives = self.now_ms + WIRE_MS.div_ceil(2);
        let event = Event::Answer {
            call,
            replica,
            is_rejected,
        };
        self.push(arrives, event);
    }

    fn answer(&mut self, index: usize, replica: usize, is_rejected: bool) {
        let (call, server) = (&self.calls[index], &self.servers[replica]);
        let pace = ReplicaPace::try_from((server.pace * 100.0) as u64);
        let report = LoadReport {
            pace: pace.ok(),
            running: server.running as u32,
            waiting: server.queue.len() as u32,
        };
        let tracker = &mut self.trackers[call.daemon];
        tracker.end(&self.entries[replica].id);
        tracker.record_report(&self.entries[replica], report, at(self.now_ms));
        let kind = usize::from(call.priority > 0);
        if is_rejected {
            if call.tries < 4 {
                self.decide(index);
            } else {
                self.tally.refused[kind] += 1;
            }
            return;
        }
        if call.expected > 0.0 {
            let time = Duration::from_millis(self.now_ms - call.sent_ms);
            let service = Arc::from("model");
            tracker.record_work(&service, time, call.factor);
        }
        if self.now_ms - call.arrived_ms <= TARGET_MS {
            self.tally.in_time[kind] += 1;
        } else {
            self.tally.late[kind] += 1;
        }
    }

    /// Reads the digests that reached a daemon since its last exchange, and sends its own.
    fn exchange(&mut self, daemon: usize) {
        let now = at(self.now_ms);
        for digest in std::mem::take(&mut self.inboxes[daemon]) {
            for demand in &digest.demands {
                self.demands[daemon].record_peer(address(digest.from), demand, now);
            }
            for (made, report) in digest.reports {
                let entry = self.entries.iter().find(|entry| entry.id == report.replica);
                let entry = entry.expect("a known replica");
                self.trackers[daemon].record_peer_report(entry, report.report, at(made));
            }
        }
        let tracker = &mut self.trackers[daemon];
        let reports = tracker.take_digest(now).reports.into_iter();
        let made = |report: &PeerReport| self.now_ms.saturating_sub(report.age_ms.into());
        let digest = Digest {
            demands: self.demands[daemon].own(now),
            from: daemon,
            reports: reports.map(|report| (made(&report), report)).collect(),
        };
        let pause = tracker.exchange_pause(now).as_millis() as u64;
        let others: Vec<usize> = (0..DAEMONS).filter(|other| *other != daemon).collect();
        let receivers: Vec<usize> = others
            .choose_multiple(&mut self.rng, RECEIVERS)
            .copied()
            .collect();
        for receiver in receivers {
            if !self.rng.random_bool(self.load.lost_digests) {
                self.inboxes[receiver].push(digest.clone());
            }
        }
        self.push(self.now_ms + pause, Event::Exchange(daemon));
    }

    fn change_paces(&mut self) {
        for number in 0..REPLICAS {
            let is_slow = self.rng.random_bool(self.load.slow_share);
            self.servers[number].pace = FACTORS[usize::from(is_slow)];
        }
        if self
            .load
            .lost_replica_ms
            .is_some_and(|ms| ms <= self.now_ms)
        {
            self.servers[REPLICAS - 1].is_lost = true;
        }
        self.push(self.now_ms + PACE_MS, Event::ChangePaces);
    }
}

fn address(daemon: usize) -> SocketAddr {
    ([10, 0, 0, daemon as u8], 7_000).into()
}

/// The load of three machines that are shared with others, where requests come in threes.
const SHARED: Load = Load {
    clump: 3,
    slow_share: 0.15,
    ..CALM
};

/// Checks what holds under any load, and returns what was counted.
fn check(load: Load, seed: u64) -> Tally {
    let tally = Fleet::play(load, seed, PLAY_MS);
    let (rejected, used) = (tally.rejected_share(), tally.used_share());
    assert!(rejected <= REJECTED_MAX, "{rejected} rejected: {load:?}");
    let waits = tally.slot_ms_while_waiting > 0;
    assert!(!waits || used >= USED_MIN, "{used} in use: {load:?}");
    assert_eq!(tally.held_in_vain, 0, "held past their time: {load:?}");
    let [urgent, other] =
        [0, 1].map(|kind| tally.in_time[kind] as f64 / tally.calls[kind].max(1) as f64);
    assert!(
        urgent + 0.02 >= other,
        "urgent {urgent}, other {other}: {load:?}"
    );
    tally
}

/// Each daemon sent to the replica with the fewest requests in its last reports, all of them to the
/// same one, and the replicas rejected a third of the arrivals while two thirds of their slots would
/// have done.
#[test]
fn load_that_fits_is_in_time() {
    assert!(check(CALM, 1).in_time_share() > 0.99);
    assert!(check(SHARED, 1).in_time_share() > 0.9);
    let wave = Load {
        is_wave: true,
        ratio: 0.6,
        ..SHARED
    };
    assert!(check(wave, 1).in_time_share() > 0.9);
}

/// With more load than the replicas bear, their queues were full, so that all answers were late.
#[test]
fn overload_leaves_most_of_what_the_replicas_bear_in_time() {
    for ratio in [1.0, 1.5, 2.0] {
        let load = Load { ratio, ..CALM };
        let borne = 1.0 / ratio;
        let in_time = check(load, 1).in_time_share();
        assert!(in_time > 0.75 * borne, "{in_time} of {borne} at {ratio}");
    }
}

#[test]
fn lost_replica_fills_no_queue() {
    let lost = Load {
        lost_replica_ms: Some(PLAY_MS / 3),
        ..SHARED
    };
    assert!(check(lost, 1).in_time_share() > 0.75);
}

/// Daemons whose reports are old hold requests back although slots are free.
#[test]
fn half_of_the_reports_lost_leaves_no_slot_idle() {
    let unreported = Load {
        lost_digests: 0.5,
        ..SHARED
    };
    assert!(check(unreported, 1).in_time_share() > 0.85);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    #[test]
    fn any_load_keeps_the_bounds(
        seed in any::<u64>(),
        ratio in 0.7..2.0,
        is_wave in any::<bool>(),
        lost_digests in 0.0..0.5,
    ) {
        let load = Load { ratio, is_wave, lost_digests, ..CALM };
        check(load, seed);
    }
}
