//! Tests of orders: the lease for sending them, due orders, and tickets for loading weights.

use {
    poplargap_core::{
        catalogue::{EngineRole, FencingCheck, UpstreamEntry, UpstreamState},
        instant::MonotonicInstant,
        name::{DataCentre, UpstreamName},
        order::{
            AcknowledgedRecord, LeaseHolder, LeasePhase, OrderBook, OrderOutcome, OrderStep,
            OrderTimes, SendPermit, WeightLoadRecord, WeightLoadTicket,
        },
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{sync::Arc, time::Duration},
};

const TIMES: OrderTimes = OrderTimes {
    execution: Duration::from_secs(6),
    lease: Duration::from_secs(1),
};

fn fixed(seed: u64) -> Config {
    Config {
        cases: 3000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// The lease at the store, in milliseconds of real time.
#[derive(Debug, Default)]
struct StoreLease {
    ends: u64,
    fence: u64,
    owner: Option<usize>,
}

/// A daemon that competes for the lease; its clock has its own start and rate.
#[derive(Debug)]
struct Daemon {
    fence: u64,
    holder: LeaseHolder,
    paused_until: u64,
    prepared: Option<SendPermit>,
    rate_percent: u64,
    start: u64,
}

impl Daemon {
    fn clock(&self, real: u64) -> MonotonicInstant {
        let millis = self.start + real * self.rate_percent / 100;
        MonotonicInstant::from_start(Duration::from_millis(millis))
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A daemon acquires or renews its lease; the answer is delayed or lost.
    Lease {
        answer_lost: bool,
        daemon: usize,
        delay: u64,
    },
    /// A daemon gets a permit and sends an order at once.
    Order {
        daemon: usize,
        delay: u64,
    },
    Advance(u64),
    Pause {
        daemon: usize,
        millis: u64,
    },
    /// A daemon gets a permit for an order.
    Prepare(usize),
    /// A daemon sends the prepared order; the engine carries it out after a delay.
    Send {
        daemon: usize,
        delay: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..2_usize;
    let late = prop_oneof![3 => Just(0), 1 => 0..600_u64];
    let lease = (prop::bool::weighted(0.1), daemon.clone(), late);
    let delay = || prop_oneof![Just(0), Just(6000), 0..=6000_u64];
    let order = (daemon.clone(), delay());
    let pause = (daemon.clone(), 0..3000_u64);
    prop_oneof![
        6 => lease.prop_map(|(answer_lost, daemon, delay)| Event::Lease { answer_lost, daemon, delay }),
        2 => order.prop_map(|(daemon, delay)| Event::Order { daemon, delay }),
        6 => (0..500_u64).prop_map(Event::Advance),
        1 => pause.prop_map(|(daemon, millis)| Event::Pause { daemon, millis }),
        1 => daemon.clone().prop_map(Event::Prepare),
        1 => (daemon, delay()).prop_map(|(daemon, delay)| Event::Send { daemon, delay }),
    ]
}

/// Two daemons, a store, and an engine that carries out orders as they arrive.
#[derive(Debug)]
struct Simulation {
    daemons: [Daemon; 2],
    fencing: FencingCheck,
    /// Orders in flight: the time at which each is carried out, and its fencing number.
    in_flight: Vec<(u64, u64)>,
    lease: StoreLease,
    real: u64,
    /// Number of orders sent by a daemon that no longer held the lease.
    without_lease: u32,
}

impl Simulation {
    fn new(fencing: FencingCheck, rates: [u64; 2]) -> Self {
        let daemon = |rate_percent, start| Daemon {
            fence: 0,
            holder: LeaseHolder::new(TIMES),
            paused_until: 0,
            prepared: None,
            rate_percent,
            start,
        };
        Self {
            daemons: [daemon(rates[0], 0), daemon(rates[1], 77_000)],
            fencing,
            in_flight: Vec::new(),
            lease: StoreLease::default(),
            real: 1,
            without_lease: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Lease {
                answer_lost,
                daemon,
                delay,
            } => self.update_lease(daemon, answer_lost, delay),
            Event::Order { daemon, delay } => {
                self.prepare(daemon);
                self.send(daemon, delay);
            }
            Event::Advance(millis) => self.real += millis,
            Event::Pause { daemon, millis } => {
                self.daemons[daemon].paused_until = self.real + millis;
            }
            Event::Prepare(daemon) => self.prepare(daemon),
            Event::Send { daemon, delay } => self.send(daemon, delay),
        }
    }

    fn update_lease(&mut self, number: usize, answer_lost: bool, delay: u64) {
        let (real, answered) = (self.real, self.real + delay);
        let daemon = &mut self.daemons[number];
        if real < daemon.paused_until {
            return;
        }
        let (sent, now) = (daemon.clock(real), daemon.clock(answered));
        if self.lease.ends <= real {
            self.lease.owner = None;
        }
        let lease = u64::try_from(TIMES.lease.as_millis()).expect("the lease is short");
        if daemon.holder.phase(sent) == LeasePhase::NotHeld {
            if self.lease.owner.is_none() {
                self.lease.fence += 1;
                self.lease.owner = Some(number);
                self.lease.ends = real + lease;
                if !answer_lost {
                    daemon.fence = self.lease.fence;
                    daemon.holder.acquire(daemon.fence, sent, now);
                }
            }
        } else if self.lease.owner == Some(number) && self.lease.fence == daemon.fence {
            self.lease.ends = real + lease;
            if !answer_lost {
                daemon.holder.renew(sent, now);
            }
        }
        daemon.paused_until = answered;
    }

    fn prepare(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        if self.real >= daemon.paused_until {
            let now = daemon.clock(self.real);
            daemon.prepared = daemon.holder.permit(self.fencing, now);
        }
    }

    fn send(&mut self, number: usize, delay: u64) {
        let daemon = &mut self.daemons[number];
        if self.real < daemon.paused_until {
            return;
        }
        let Some(permit) = daemon.prepared.take() else {
            return;
        };
        if permit.allows(daemon.clock(self.real)) {
            let held = self.lease.fence == permit.fence && self.real < self.lease.ends;
            self.without_lease += u32::from(!held);
            self.in_flight.push((self.real + delay, permit.fence));
        }
    }

    /// Returns the fencing numbers of the carried out orders, in sequence.
    fn carried_out(mut self) -> Vec<u64> {
        self.in_flight.sort_by_key(|(at, _)| *at);
        let mut highest = 0;
        let mut carried_out = Vec::new();
        for (_, fence) in self.in_flight {
            if fence < highest && self.fencing == FencingCheck::Checked {
                continue;
            }
            highest = highest.max(fence);
            carried_out.push(fence);
        }
        carried_out
    }
}

proptest! {
    #![proptest_config(fixed(9))]

    #[test]
    fn no_engine_carries_out_an_older_holders_order_after_a_newer_ones(
        events in prop::collection::vec(event(), 0..200),
        ignored: bool,
        rates in [90..=110_u64, 90..=110_u64],
    ) {
        let fencing = if ignored { FencingCheck::Ignored } else { FencingCheck::Checked };
        let mut simulation = Simulation::new(fencing, rates);
        for event in &events {
            simulation.apply(event);
        }
        prop_assert_eq!(simulation.without_lease, 0, "orders were sent without the lease");
        let carried_out = simulation.carried_out();
        prop_assert!(carried_out.is_sorted(), "{carried_out:?}");
    }

    #[test]
    fn tickets_never_exceed_the_limit(
        limit in 0..4_usize,
        updates in prop::collection::vec((0..3_usize, 1..4_u64, any::<[bool; 4]>()), 0..40),
    ) {
        let mut record = WeightLoadRecord::default();
        for (centre, fence, wants) in updates {
            let centre = DataCentre::try_from(format!("dc{centre}")).expect("the name is valid");
            let before = record.clone();
            let wanted: Vec<WeightLoadTicket> = (0..4)
                .filter(|number| wants[*number])
                .map(|number| ticket(&centre, fence, number))
                .collect();
            record.update_tickets(&centre, fence, &wanted, limit);
            prop_assert!(record.tickets.len() <= limit, "{record:?}");
            let others = |record: &WeightLoadRecord| -> Vec<WeightLoadTicket> {
                let tickets = record.tickets.iter().cloned();
                tickets.filter(|ticket| ticket.data_centre != centre || ticket.fence != fence).collect()
            };
            prop_assert_eq!(others(&before), others(&record));
        }
    }
}

fn ticket(data_centre: &DataCentre, fence: u64, number: usize) -> WeightLoadTicket {
    WeightLoadTicket {
        data_centre: data_centre.clone(),
        fence,
        upstream: UpstreamName::try_from(format!("curve-{number}")).expect("the name is valid"),
    }
}

fn entry(version: &str, role: Option<EngineRole>) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        adapters: Vec::new(),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: "ne1".parse().expect("the name is valid"),
        fencing: FencingCheck::Ignored,
        model_version: Some(version.parse().expect("the version is valid")),
        name: "curve-0".parse().expect("the name is valid"),
        pool: "curve".parse().expect("the name is valid"),
        role,
        state: UpstreamState::Serving,
    })
}

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(millis))
}

fn due(book: &OrderBook, now: u64) -> Option<OrderStep> {
    book.due(at(now)).next().map(|due| due.step)
}

/// Sends the due order, records its outcome and returns its value.
fn send_due(book: &mut OrderBook, now: u64, outcome: OrderOutcome) -> String {
    let step = due(book, now).expect("an order is due");
    let name = "curve-0".parse().expect("the name is valid");
    book.start(&name, &step, at(now));
    assert_eq!(due(book, now), None, "one order at a time");
    book.finish(&name, 1, outcome, at(now));
    step.value
}

#[test]
fn next_holder_sends_only_missing_orders() {
    let serving = entry("7", Some(EngineRole::Serve));
    let mut book = OrderBook::new(AcknowledgedRecord::default(), TIMES);
    book.update([&serving]);
    assert_eq!(send_due(&mut book, 0, OrderOutcome::Accepted), "curve");
    assert_eq!(send_due(&mut book, 0, OrderOutcome::Accepted), "7");
    let json = serde_json::to_string(&book.record(1)).expect("a record is JSON");
    let stored = serde_json::from_str(&json).expect("a record is read");
    let mut next = OrderBook::new(stored, TIMES);
    next.update([&serving]);
    assert_eq!(send_due(&mut next, 0, OrderOutcome::Accepted), "serve");
    assert_eq!(due(&next, 0), None);
    assert!(next.restart(&serving.name));
    assert_eq!(
        due(&next, 0).map(|step| step.value),
        Some("curve".to_owned())
    );
}

#[test]
fn replacing_order_waits_for_the_record_and_for_unanswered_orders() {
    let mut book = OrderBook::new(AcknowledgedRecord::default(), TIMES);
    book.update([&entry("7", None)]);
    send_due(&mut book, 0, OrderOutcome::Accepted);
    assert_eq!(send_due(&mut book, 0, OrderOutcome::Unknown), "7");
    assert_eq!(book.loading(at(0)).count(), 1);
    assert_eq!(
        due(&book, 100),
        None,
        "a failure is followed by a retry delay"
    );
    book.update([&entry("8", None)]);
    assert_eq!(due(&book, 2999), None, "version 7 may still be carried out");
    assert_eq!(
        due(&book, 6000).map(|step| step.value),
        Some("8".to_owned())
    );
    book.expire(at(6000));
    send_due(&mut book, 6000, OrderOutcome::Accepted);
    book.update([&entry("9", None)]);
    assert_eq!(due(&book, 6000), None, "the record still says version 8");
    assert!(book.remove_replaced());
    assert_eq!(
        due(&book, 6000).map(|step| step.value),
        Some("9".to_owned())
    );
}

#[test]
fn failing_engine_is_retried_and_holds_no_ticket_meanwhile() {
    let mut book = OrderBook::new(AcknowledgedRecord::default(), TIMES);
    book.update([&entry("7", None)]);
    send_due(&mut book, 0, OrderOutcome::NotSent);
    assert_eq!(book.loading(at(499)).count(), 0);
    assert_eq!(book.loading(at(500)).count(), 1);
    send_due(&mut book, 500, OrderOutcome::Refused);
    assert_eq!(due(&book, 1499), None);
    send_due(&mut book, 1500, OrderOutcome::Accepted);
    assert_eq!(book.outstanding(), 1);
}

#[test]
fn tickets_of_former_holders_and_of_removed_data_centres_are_removed() {
    let [own, other]: [DataCentre; 2] = ["ne1", "ne2"].map(|name| name.parse().expect("a name"));
    let mut record = WeightLoadRecord::default();
    record.update_tickets(&own, 5, &[ticket(&own, 5, 0)], 2);
    record.update_tickets(&other, 6, &[ticket(&other, 6, 1)], 2);
    record.remove_former_tickets(&own, 7);
    assert_eq!(record.tickets, [ticket(&other, 6, 1)]);
    record.remove_data_centres(10, |_| true);
    record.remove_data_centres(9, |name| *name == own);
    assert_eq!(
        record.tickets.len(),
        1,
        "an older catalogue removes nothing"
    );
    record.remove_data_centres(11, |name| *name == own);
    assert!(record.tickets.is_empty());
}

#[test]
fn new_holder_waits_for_the_lease_and_the_longest_order_if_fencing_is_ignored() {
    let mut holder = LeaseHolder::new(TIMES);
    holder.acquire(3, at(0), at(100));
    for sent in (400..7100).step_by(400) {
        assert!(holder.permit(FencingCheck::Checked, at(sent)).is_some());
        assert_eq!(holder.permit(FencingCheck::Ignored, at(sent)), None);
        holder.renew(at(sent), at(sent));
    }
    assert_eq!(holder.phase(at(7099)), LeasePhase::FormerOrdersPending);
    assert_eq!(holder.phase(at(7100)), LeasePhase::FormerOrdersOver);
    assert!(holder.permit(FencingCheck::Ignored, at(7100)).is_some());
}

#[test]
fn expired_lease_stays_lost() {
    let mut holder = LeaseHolder::new(TIMES);
    holder.acquire(3, at(0), at(0));
    let permit = holder.permit(FencingCheck::Checked, at(799));
    let permit = permit.expect("the lease is held");
    assert!(permit.allows(at(799)) && !permit.allows(at(800)));
    holder.renew(at(799), at(800));
    assert_eq!(holder.phase(at(800)), LeasePhase::NotHeld);
    assert_eq!(holder.lease_permit(at(800)), None);
}
