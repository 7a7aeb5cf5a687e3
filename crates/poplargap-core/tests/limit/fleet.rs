//! Simulation of the daemons and lenders of one class in several data centres, with faults.

use {
    poplargap_core::{
        catalogue::LimitSet,
        instant::MonotonicInstant,
        limit::{
            Admission, Allowance, LenderHandover, LenderTenure, LimitBorrower, LimitLender,
            LoanDigest, LoanHolder, LoanReply, LoanRequest, LoanStamp, Permit, REQUEST_WINDOW,
            RenewalOutcome, RenewalReply, RenewalRequest, TAKEOVER_WAIT, TOKEN_WINDOW, base_share,
        },
        name::{ClassName, DaemonName, DataCentre},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Longest wait of a request for admission.
const ADMISSION_TIMEOUT_MS: u64 = 1000;

/// Time for which a lender may act after its last confirmation.
const TENURE_MS: u64 = 1000;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon crashes and is replaced by a new process.
    Crash { daemon: usize },
    /// The lender of a data centre crashes.
    CrashLender { centre: usize },
    /// A data centre is disconnected from the others.
    CutOff { centre: usize, ms: u64 },
    /// A lender hands its loans over to the next daemon.
    Handover { centre: usize },
    /// A daemon is paused.
    Pause { daemon: usize, ms: u64 },
    /// The lender of a data centre is paused.
    PauseLender { centre: usize, ms: u64 },
    /// All messages are lost.
    Silence { ms: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub centres: usize,
    pub daemons: usize,
    pub delay_ms: u64,
    pub limits: LimitSet,
    pub load_percent: u64,
    pub lost_percent: u64,
    pub step_ms: u64,
}

#[derive(Debug)]
pub struct Random(u64);

impl Random {
    /// Returns a number below `bound`: `SplitMix64`, Steele, Lea and Flood, 2014.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

#[derive(Clone, Debug)]
enum Message {
    Renewal {
        from: usize,
        request: RenewalRequest,
    },
    RenewalReply(RenewalReply),
    Reply {
        from: usize,
        reply: LoanReply,
        to: Address,
    },
    Request {
        from: Address,
        request: LoanRequest,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Address {
    Daemon(usize),
    Lender(usize),
}

#[derive(Debug)]
struct MessageInTransit {
    arrives: u64,
    message: Message,
    to: usize,
}

#[derive(Debug)]
struct Daemon {
    borrower: LimitBorrower,
    centre: usize,
    clock_ms: u64,
    lender: Option<LimitLender>,
    paused_until: u64,
    renewal: Option<(LoanStamp, MonotonicInstant)>,
    renewals: u64,
    running: Vec<(Permit, u64, usize)>,
    tenure_until: u64,
    waiting: VecDeque<(u64, u64)>,
}

#[derive(Debug)]
struct Usage {
    at: u64,
    tokens: u64,
}

/// The simulated fleet, with a record of all admitted requests.
#[derive(Debug)]
pub struct Fleet {
    cut_until: Vec<u64>,
    daemons: Vec<Daemon>,
    lenders: Vec<usize>,
    incarnations: u64,
    in_transit: Vec<MessageInTransit>,
    pub messages: u64,
    now: u64,
    pub random: Random,
    setting: Setting,
    silent_until: u64,
    usages: Vec<Usage>,
}

fn class() -> ClassName {
    "notes".try_into().expect("a checked name")
}

fn centre_name(centre: usize) -> DataCentre {
    format!("dc{centre}").try_into().expect("a checked name")
}

impl Fleet {
    pub fn new(setting: Setting, seed: u64) -> Self {
        let mut fleet = Self {
            cut_until: vec![0; setting.centres],
            daemons: Vec::new(),
            lenders: (0..setting.centres)
                .map(|centre| centre * setting.daemons)
                .collect(),
            incarnations: 0,
            in_transit: Vec::new(),
            messages: 0,
            now: 1000,
            random: Random(seed),
            setting,
            silent_until: 0,
            usages: Vec::new(),
        };
        for daemon in 0..setting.centres * setting.daemons {
            let started = fleet.start_daemon(daemon);
            fleet.daemons.push(started);
        }
        for centre in 0..setting.centres {
            fleet.open_lender(centre, None);
        }
        fleet
    }

    fn start_daemon(&mut self, daemon: usize) -> Daemon {
        self.incarnations += 1;
        let holder = self.holder(daemon, None);
        Daemon {
            borrower: LimitBorrower::new(class(), holder, self.setting.limits),
            centre: daemon / self.setting.daemons,
            clock_ms: self.random.below(1_000_000),
            lender: None,
            paused_until: 0,
            renewal: None,
            renewals: 0,
            running: Vec::new(),
            tenure_until: 0,
            waiting: VecDeque::new(),
        }
    }

    fn holder(&self, daemon: usize, centre: Option<DataCentre>) -> LoanHolder {
        let name = format!("d{daemon}");
        LoanHolder {
            centre,
            daemon: DaemonName::try_from(name).expect("a checked name"),
            incarnation: self.incarnations,
        }
    }

    fn clock(&self, daemon: usize) -> MonotonicInstant {
        let ms = self.daemons[daemon].clock_ms + self.now;
        MonotonicInstant::from_start(Duration::from_millis(ms))
    }

    fn open_lender(&mut self, centre: usize, handover: Option<LenderHandover>) {
        self.incarnations += 1;
        let daemon = self.lenders[centre];
        let now = self.clock(daemon);
        let holder = self.holder(daemon, Some(centre_name(centre)));
        let mut lender = match handover {
            Some(handover) => LimitLender::continue_from(handover, holder, now),
            None => LimitLender::open(class(), holder, now),
        };
        let names: Vec<DataCentre> = (0..self.setting.centres).map(centre_name).collect();
        let limits = self.setting.limits;
        let share = |name| base_share(&limits, &class(), name, &names);
        let remote_lenders = names
            .iter()
            .filter(|name| **name != names[centre] && share(name) != Allowance::ZERO);
        lender.set_share(
            limits,
            share(&names[centre]),
            remote_lenders.cloned().collect(),
        );
        self.daemons[daemon].lender = Some(lender);
        self.daemons[daemon].tenure_until = self.now + TENURE_MS;
    }

    pub fn inject(&mut self, fault: Fault) {
        let count = self.daemons.len();
        match fault {
            Fault::Crash { daemon } => {
                let daemon = daemon % count;
                self.daemons[daemon] = self.start_daemon(daemon);
            }
            Fault::CrashLender { centre } => {
                let daemon = self.lenders[centre % self.setting.centres];
                self.inject(Fault::Crash { daemon });
            }
            Fault::CutOff { centre, ms } => {
                self.cut_until[centre % self.setting.centres] = self.now + ms;
            }
            Fault::Handover { centre } => self.hand_over(centre % self.setting.centres),
            Fault::Pause { daemon, ms } => {
                self.daemons[daemon % count].paused_until = self.now + ms;
            }
            Fault::PauseLender { centre, ms } => {
                let daemon = self.lenders[centre % self.setting.centres];
                self.inject(Fault::Pause { daemon, ms });
            }
            Fault::Silence { ms } => self.silent_until = self.now + ms,
        }
    }

    fn hand_over(&mut self, centre: usize) {
        let daemon = self.lenders[centre];
        if self.is_paused(daemon) {
            return;
        }
        let Some(lender) = self.daemons[daemon].lender.take() else {
            return;
        };
        let handover = lender.close(self.clock(daemon));
        self.lenders[centre] = self.next_daemon(daemon);
        self.open_lender(centre, Some(handover));
    }

    fn next_daemon(&self, daemon: usize) -> usize {
        let size = self.setting.daemons;
        let first = daemon / size * size;
        first + (daemon - first + 1) % size
    }

    fn is_paused(&self, daemon: usize) -> bool {
        self.now < self.daemons[daemon].paused_until
    }

    /// Extends the tenure of running lenders and replaces lenders whose tenure has expired.
    fn update_lenders(&mut self) {
        for centre in 0..self.setting.centres {
            let daemon = self.lenders[centre];
            let runs = self.daemons[daemon].lender.is_some() && !self.is_paused(daemon);
            let tenure = self.daemons[daemon].tenure_until;
            if runs && self.now < tenure {
                self.daemons[daemon].tenure_until = self.now + TENURE_MS;
            } else if self.now >= tenure {
                self.lenders[centre] = self.next_daemon(daemon);
                self.open_lender(centre, None);
            }
        }
    }

    pub fn step(&mut self) {
        self.now += self.setting.step_ms;
        self.deliver();
        self.update_lenders();
        for daemon in 0..self.daemons.len() {
            if !self.is_paused(daemon) {
                self.run_daemon(daemon);
            }
        }
        self.check();
    }

    fn run_daemon(&mut self, daemon: usize) {
        let now = self.clock(daemon);
        let ended = self.daemons[daemon]
            .running
            .extract_if(.., |(_, end, _)| *end <= self.now);
        for (permit, _, used) in ended.collect::<Vec<_>>() {
            let tokens = self.usages[used].tokens / 2;
            self.usages[used].tokens = tokens;
            self.daemons[daemon].borrower.release(permit, tokens, now);
        }
        if self.random.percent(self.setting.load_percent) {
            let tokens = 1 + self.random.below(30);
            let give_up_at = self.now + ADMISSION_TIMEOUT_MS;
            self.daemons[daemon].waiting.push_back((tokens, give_up_at));
        }
        while self.admit(daemon, now) {}
        self.renew(daemon, now);
        if let Some(request) = self.daemons[daemon].borrower.due_request(now) {
            self.ask_lender(daemon, request);
        }
        if self.now < self.daemons[daemon].tenure_until {
            self.ask_remote_lender(daemon, now);
        }
    }

    /// Tries to admit the longest waiting request; returns whether to continue with the next.
    fn admit(&mut self, daemon: usize, now: MonotonicInstant) -> bool {
        let Some((tokens, give_up_at)) = self.daemons[daemon].waiting.pop_front() else {
            return false;
        };
        match self.daemons[daemon].borrower.admit(tokens, now) {
            Admission::Ask(request) => self.ask_lender(daemon, request),
            Admission::Granted(permit) => {
                let end = self.now + 1 + self.random.below(4000);
                let used = self.usages.len();
                let at = self.now;
                self.daemons[daemon].running.push((permit, end, used));
                self.usages.push(Usage { at, tokens });
                return true;
            }
            Admission::Oversized => return true,
            Admission::Pending | Admission::Refused { .. } => {}
        }
        if self.now < give_up_at {
            self.daemons[daemon]
                .waiting
                .push_front((tokens, give_up_at));
        }
        false
    }

    /// Requests a joint renewal every 800 ms.
    fn renew(&mut self, daemon: usize, now: MonotonicInstant) {
        if self.now % 800 >= self.setting.step_ms {
            return;
        }
        let lender = self.lenders[self.daemons[daemon].centre];
        let asking = &mut self.daemons[daemon];
        let Some(stamp) = asking.borrower.stamp(now) else {
            return;
        };
        asking.renewals += 1;
        asking.renewal = Some((stamp.clone(), now));
        let request = RenewalRequest {
            digest: LoanDigest::from_iter([stamp]),
            holder: asking.borrower.holder().clone(),
            sequence: asking.renewals,
        };
        let from = daemon;
        self.send(daemon, lender, &Message::Renewal { from, request });
    }

    fn answer_renewal(&mut self, daemon: usize, from: usize, request: &RenewalRequest) {
        let now = self.clock(daemon);
        let tenure = self.now < self.daemons[daemon].tenure_until;
        let lender = self.daemons[daemon].lender.as_mut().filter(|_| tenure);
        let Some(lender) = lender else {
            return;
        };
        let stamps = lender.stamp(&request.holder, now);
        let outcome = if LoanDigest::from_iter(stamps) == request.digest {
            let scarce = lender.renew(&request.holder, now);
            let scarce = scarce.then(class).into_iter().collect();
            RenewalOutcome::Renewed { scarce }
        } else {
            RenewalOutcome::Differs
        };
        let sequence = request.sequence;
        let reply = RenewalReply { outcome, sequence };
        self.send(daemon, from, &Message::RenewalReply(reply));
    }

    fn accept_renewal(&mut self, daemon: usize, reply: &RenewalReply) {
        let asking = &mut self.daemons[daemon];
        if reply.sequence != asking.renewals {
            return;
        }
        if let (Some((stamp, sent)), RenewalOutcome::Renewed { scarce }) =
            (asking.renewal.take(), &reply.outcome)
        {
            asking.borrower.renewed(&stamp, sent, !scarce.is_empty());
        }
    }

    fn ask_lender(&mut self, daemon: usize, request: LoanRequest) {
        let from = Address::Daemon(daemon);
        let lender = self.lenders[self.daemons[daemon].centre];
        self.send(daemon, lender, &Message::Request { from, request });
    }

    fn ask_remote_lender(&mut self, daemon: usize, now: MonotonicInstant) {
        let Some(lender) = self.daemons[daemon].lender.as_mut() else {
            return;
        };
        let Some((lending_centre, request)) = lender.ask_remote_lender(now) else {
            return;
        };
        let to_centre = (0..self.setting.centres)
            .find(|centre| centre_name(*centre) == lending_centre)
            .expect("the lender is a data centre");
        let to = self.lenders[to_centre];
        let from = Address::Lender(daemon);
        self.send(daemon, to, &Message::Request { from, request });
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        self.messages += 1;
        let copies = 1 + u64::from(self.random.percent(self.setting.lost_percent));
        for _ in 0..copies {
            if self.random.percent(self.setting.lost_percent) || !self.connected(from, to) {
                continue;
            }
            let delay = self.random.below(self.setting.delay_ms + 1);
            let late = self.random.percent(self.setting.lost_percent / 4);
            let delay = if late { delay * 50 } else { delay };
            self.in_transit.push(MessageInTransit {
                arrives: self.now + delay,
                message: message.clone(),
                to,
            });
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let centres = [self.daemons[from].centre, self.daemons[to].centre];
        let cut = centres[0] != centres[1]
            && centres
                .iter()
                .any(|centre| self.now < self.cut_until[*centre]);
        !cut && self.now >= self.silent_until
    }

    fn deliver(&mut self) {
        let mut arrived: VecDeque<MessageInTransit> = VecDeque::new();
        for index in (0..self.in_transit.len()).rev() {
            let sent = &self.in_transit[index];
            if sent.arrives <= self.now && !self.is_paused(sent.to) {
                arrived.push_back(self.in_transit.swap_remove(index));
            }
        }
        for sent in arrived {
            match sent.message {
                Message::Reply { from, reply, to } => self.accept_reply(to, sent.to, from, &reply),
                Message::Renewal { from, request } => self.answer_renewal(sent.to, from, &request),
                Message::RenewalReply(reply) => self.accept_renewal(sent.to, &reply),
                Message::Request { from, request } => self.answer(sent.to, from, &request),
            }
        }
    }

    fn answer(&mut self, daemon: usize, from: Address, request: &LoanRequest) {
        let now = self.clock(daemon);
        let until = self.daemons[daemon].tenure_until + self.daemons[daemon].clock_ms;
        let tenure = LenderTenure::new(MonotonicInstant::from_start(Duration::from_millis(until)));
        let Some(lender) = self.daemons[daemon].lender.as_mut() else {
            return;
        };
        let reply = lender.answer(request, tenure, now);
        let (Address::Daemon(asker) | Address::Lender(asker)) = from;
        let from_centre = self.daemons[daemon].centre;
        let message = Message::Reply {
            from: from_centre,
            reply,
            to: from,
        };
        self.send(daemon, asker, &message);
    }

    fn accept_reply(&mut self, to: Address, daemon: usize, from: usize, reply: &LoanReply) {
        let now = self.clock(daemon);
        match to {
            Address::Daemon(_) => self.daemons[daemon].borrower.accept_loan_reply(reply, now),
            Address::Lender(_) => {
                if let Some(lender) = self.daemons[daemon].lender.as_mut() {
                    lender.accept_remote_reply(&centre_name(from), reply);
                }
            }
        }
    }

    fn check(&mut self) {
        let limits = self.setting.limits;
        let held: u64 = (0..self.daemons.len())
            .map(|daemon| {
                self.daemons[daemon]
                    .borrower
                    .held(self.clock(daemon))
                    .concurrency
            })
            .sum();
        let used = self.used();
        assert!(
            held <= limits.concurrency.unwrap_or(u32::MAX).into(),
            "borrowers hold {held} slots"
        );
        let requests = limits.requests_per_second.unwrap_or(u32::MAX);
        assert!(used.requests <= requests.into(), "{used:?}");
        assert!(
            used.tokens <= limits.tokens_per_minute.unwrap_or(u64::MAX),
            "{used:?}"
        );
    }

    /// Returns the requests in flight and the usage in the windows that end now.
    pub fn used(&self) -> Allowance {
        let since = |window: Duration| {
            let window = window.as_millis() as u64;
            self.usages
                .iter()
                .rev()
                .take_while(move |used| used.at + window > self.now)
        };
        Allowance {
            concurrency: self
                .daemons
                .iter()
                .map(|daemon| daemon.borrower.in_flight())
                .sum(),
            requests: since(REQUEST_WINDOW).count() as u64,
            tokens: since(TOKEN_WINDOW).map(|used| used.tokens).sum(),
        }
    }

    /// Returns the number of requests admitted so far.
    pub fn admitted(&self) -> usize {
        self.usages.len()
    }

    /// Runs until every lender's records include all loans of its data centre.
    pub fn warm_up(&mut self) {
        let steps = (TAKEOVER_WAIT + TOKEN_WINDOW).as_millis() as u64 / self.setting.step_ms;
        for _ in 0..=steps + 100 {
            self.step();
        }
    }
}
