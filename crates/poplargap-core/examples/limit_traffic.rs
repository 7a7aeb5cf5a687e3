//! Counts the messages for limits in one simulated data centre.
//!
//! Every class has the same share, and requests are spread evenly over daemons and classes.
//! Prints the messages and bytes per second that one daemon sends and receives, encoded as JSON
//! and as postcard, without framing.

use {
    poplargap_core::{
        catalogue::LimitSet,
        instant::MonotonicInstant,
        limit::{
            Admission, Allowance, LenderTenure, LimitBorrower, LimitLender, LoanDigest, LoanHolder,
            LoanRequest, Permit, RenewalOutcome, RenewalReply, RenewalRequest,
        },
        name::{ClassName, DaemonName},
    },
    serde::Serialize,
    std::{collections::VecDeque, time::Duration},
};

const ANSWER_MS: u64 = 4000;
const CLASSES: usize = 1500;
const DAEMONS: usize = 19;
const REQUESTS_PER_SECOND: u64 = 75 * DAEMONS as u64;
const SECONDS: u64 = 180;
const WARM_UP_SECONDS: u64 = 120;

#[derive(Default)]
struct Counts {
    admitted: u64,
    postcard_bytes: u64,
    json_bytes: u64,
    messages: u64,
    refused: u64,
}

impl Counts {
    fn count(&mut self, message: &impl Serialize) {
        self.messages += 1;
        self.postcard_bytes += postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64);
        self.json_bytes += serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64);
    }
}

struct RunningRequest {
    class: usize,
    daemon: usize,
    ends_ms: u64,
    permit: Permit,
}

struct SimulatedCentre {
    borrowers: Vec<Vec<LimitBorrower>>,
    counts: Counts,
    lenders: Vec<LimitLender>,
    running: VecDeque<RunningRequest>,
}

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn class_name(class: usize) -> ClassName {
    let name = format!("workspace-{class}:notes");
    ClassName::try_from(name).expect("a checked name")
}

fn holder(daemon: usize) -> LoanHolder {
    let name = format!("entry-{daemon}");
    LoanHolder {
        centre: None,
        daemon: DaemonName::try_from(name).expect("a checked name"),
        incarnation: 7_000_000_000,
    }
}

impl SimulatedCentre {
    fn new(share: u32) -> Self {
        let limits = LimitSet {
            concurrency: Some(share),
            ..LimitSet::default()
        };
        let lender = |class| {
            let mut lender = LimitLender::open(class_name(class), holder(class % DAEMONS), at(0));
            lender.set_share(limits, Allowance::of_limits(&limits), Vec::new());
            lender
        };
        let borrowers = |daemon| {
            (0..CLASSES)
                .map(|class| LimitBorrower::new(class_name(class), holder(daemon), limits))
                .collect()
        };
        Self {
            borrowers: (0..DAEMONS).map(borrowers).collect(),
            counts: Counts::default(),
            lenders: (0..CLASSES).map(lender).collect(),
            running: VecDeque::new(),
        }
    }

    fn exchange(&mut self, daemon: usize, class: usize, request: &LoanRequest, ms: u64) {
        let tenure = LenderTenure::new(at(ms + 1));
        let reply = self.lenders[class].answer(request, tenure, at(ms));
        if class % DAEMONS != daemon {
            self.counts.count(request);
            self.counts.count(&reply);
        }
        self.borrowers[daemon][class].accept_loan_reply(&reply, at(ms));
    }

    fn admit(&mut self, daemon: usize, class: usize, ms: u64) {
        for _ in 0..2 {
            match self.borrowers[daemon][class].admit(1, at(ms)) {
                Admission::Ask(request) => self.exchange(daemon, class, &request, ms),
                Admission::Granted(permit) => {
                    self.counts.admitted += 1;
                    let ends_ms = ms + ANSWER_MS;
                    self.running.push_back(RunningRequest {
                        class,
                        daemon,
                        ends_ms,
                        permit,
                    });
                    return;
                }
                Admission::Oversized | Admission::Pending | Admission::Refused { .. } => break,
            }
        }
        self.counts.refused += 1;
    }

    fn release_ended(&mut self, ms: u64) {
        while let Some(request) = self.running.pop_front_if(|request| request.ends_ms <= ms) {
            let borrower = &mut self.borrowers[request.daemon][request.class];
            borrower.release(request.permit, 1, at(ms));
            self.maintain(request.daemon, request.class, ms);
        }
    }

    fn maintain(&mut self, daemon: usize, class: usize, ms: u64) {
        if let Some(request) = self.borrowers[daemon][class].due_request(at(ms)) {
            self.exchange(daemon, class, &request, ms);
        }
    }

    fn renew(&mut self, daemon: usize, lender: usize, ms: u64) {
        let classes = (lender..CLASSES).step_by(DAEMONS);
        let stamps = classes
            .clone()
            .filter_map(|class| self.borrowers[daemon][class].stamp(at(ms)));
        let request = RenewalRequest {
            digest: stamps.collect(),
            holder: holder(daemon),
            sequence: ms,
        };
        let lent = classes
            .clone()
            .filter_map(|class| self.lenders[class].stamp(&request.holder, at(ms)));
        let mut scarce = Vec::new();
        if lent.collect::<LoanDigest>() == request.digest {
            for class in classes {
                let Some(stamp) = self.borrowers[daemon][class].stamp(at(ms)) else {
                    continue;
                };
                let is_scarce = self.lenders[class].renew(&request.holder, at(ms));
                self.borrowers[daemon][class].renewed(&stamp, at(ms), is_scarce);
                scarce.extend(is_scarce.then(|| class_name(class)));
            }
        }
        if daemon != lender {
            self.counts.count(&request);
            self.counts.count(&RenewalReply {
                outcome: RenewalOutcome::Renewed { scarce },
                sequence: ms,
            });
        }
    }
}

fn main() {
    println!("share  admitted/s  refused/s  messages/s  JSON/s  binary/s");
    for share in [1, 5, 10, 20, 40, 100] {
        let mut centre = SimulatedCentre::new(share);
        let mut seed = 42_u64;
        for ms in 100_000..100_000 + SECONDS * 1000 {
            if ms == 100_000 + WARM_UP_SECONDS * 1000 {
                centre.counts = Counts::default();
            }
            centre.release_ended(ms);
            let due = |ms| ms * REQUESTS_PER_SECOND / 1000;
            for _ in due(ms - 1)..due(ms) {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let random = (seed >> 33) as usize;
                centre.admit(random % DAEMONS, random / DAEMONS % CLASSES, ms);
            }
            if ms % 900 == 0 {
                (0..DAEMONS * DAEMONS).for_each(|p| centre.renew(p / DAEMONS, p % DAEMONS, ms));
            }
            if ms % 1000 == 0 {
                (0..DAEMONS * CLASSES).for_each(|p| centre.maintain(p / CLASSES, p % CLASSES, ms));
            }
        }
        let seconds = SECONDS - WARM_UP_SECONDS;
        let Counts {
            admitted,
            postcard_bytes,
            json_bytes,
            messages,
            refused,
        } = centre.counts;
        let (admitted, refused) = (admitted / seconds, refused / seconds);
        let per_daemon_second = |all: u64| 2 * all / (DAEMONS as u64 * seconds);
        let [messages, json, binary] =
            [messages, json_bytes, postcard_bytes].map(per_daemon_second);
        println!("{share:5}  {admitted:10}  {refused:9}  {messages:10}  {json:6}  {binary:6}");
    }
}
