//! Compares the two policies for the retry delay of refused callers.
//!
//! One queue with a capacity of 100 is drained at 50 items per second. Ten workspaces send
//! 40 requests per second together; for one minute the first workspace sends more. A refused caller
//! retries after the delay that it was given, up to five times.

use {
    poplargap_core::{
        catalogue::PriorityClass,
        instant::MonotonicInstant,
        name::{RequestId, WorkspaceName},
        queue::{RetryPolicy, WorkCost, WorkItem, WorkQueue},
    },
    std::{collections::BTreeMap, time::Duration},
};

const ATTEMPTS_MAX: u32 = 6;
const CAPACITY: u32 = 100;
const DRAIN_INTERVAL_MS: u64 = 20;
const END_MS: u64 = 240_000;
const PATIENCE_MS: u64 = 20_000;
/// Additional requests per second of the first workspace during the surge.
const SURGES_PER_SECOND: [u64; 4] = [0, 15, 30, 100];

const SURGE_MS: std::ops::Range<u64> = 30_000..90_000;
const WORKSPACES: u64 = 10;

#[derive(Clone, Debug)]
struct CallerState {
    attempts: u32,
    first_ms: u64,
    workspace: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    attempts: u64,
    gave_up: u64,
    waits_ms: Vec<u64>,
}

impl Outcome {
    fn print(&mut self, policy: RetryPolicy, surge: u64, workspaces: &str) {
        self.waits_ms.sort_unstable();
        let served = self.waits_ms.len();
        let p95 = self.waits_ms.get(served * 95 / 100).copied().unwrap_or(0);
        let (attempts, gave_up) = (self.attempts, self.gave_up);
        println!(
            "{policy:10}  {surge:5}  {workspaces:8}  {served:6}  {gave_up:7}  {attempts:8}  {p95:6}"
        );
    }
}

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn workspace(number: u64) -> WorkspaceName {
    let name = format!("workspace-{number}");
    WorkspaceName::try_from(name).expect("a checked name")
}

struct Simulation {
    due: BTreeMap<(u64, u64), CallerState>,
    number: u64,
    outcomes: [Outcome; 2],
    queue: WorkQueue<CallerState>,
    seed: u64,
    surge: u64,
}

impl Simulation {
    fn arrives(&mut self, per_second: u64) -> bool {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % 1000 < per_second
    }

    fn schedule_call(&mut self, ms: u64, caller: CallerState) {
        self.number += 1;
        self.due.insert((ms, self.number), caller);
    }

    fn add_callers(&mut self, ms: u64) {
        for workspace in 0..WORKSPACES {
            let surge = workspace == 0 && SURGE_MS.contains(&ms);
            if self.arrives(4 + if surge { self.surge } else { 0 }) {
                let caller = CallerState {
                    attempts: 0,
                    first_ms: ms,
                    workspace,
                };
                self.schedule_call(ms, caller);
            }
        }
    }

    fn push(&mut self, ms: u64, number: u64, mut caller: CallerState) {
        caller.attempts += 1;
        self.outcome(&caller).attempts += 1;
        let id = format!("request-{number}");
        let item = WorkItem {
            arrived: at(ms),
            cost: WorkCost::ONE,
            id: RequestId::try_from(id).expect("a checked name"),
            latest_start: at(ms + PATIENCE_MS),
            workspace: workspace(caller.workspace),
            payload: caller,
            priority: PriorityClass::Standard,
        };
        let refused = match self.queue.push(item, at(ms)) {
            Ok(displaced) => displaced,
            Err(refusal) => Some(refusal.item),
        };
        if let Some(item) = refused {
            self.refuse(ms, item);
        }
    }

    fn refuse(&mut self, ms: u64, item: WorkItem<CallerState>) {
        let wait = self.queue.retry_after(&item.workspace, at(ms));
        let caller = item.payload;
        if caller.attempts >= ATTEMPTS_MAX {
            self.outcome(&caller).gave_up += 1;
            return;
        }
        self.schedule_call(ms + wait.as_secs() * 1000 + 1, caller);
    }

    fn outcome(&mut self, caller: &CallerState) -> &mut Outcome {
        &mut self.outcomes[usize::from(caller.workspace > 0)]
    }

    fn step(&mut self, ms: u64) {
        self.add_callers(ms);
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= ms) {
            let ((_, number), caller) = entry.remove_entry();
            self.push(ms, number, caller);
        }
        for expired in self.queue.expire(at(ms)) {
            self.refuse(ms, expired);
        }
        if ms.is_multiple_of(DRAIN_INTERVAL_MS)
            && let Some(item) = self.queue.pop(at(ms))
        {
            let wait = ms - item.payload.first_ms;
            self.outcome(&item.payload).waits_ms.push(wait);
        }
    }
}

fn main() {
    println!("policy      surge  who       served  gave up  attempts  p95 ms");
    let policies = [RetryPolicy::Fixed, RetryPolicy::DrainRate];
    for (surge, policy) in SURGES_PER_SECOND
        .iter()
        .flat_map(|s| policies.map(|policy| (*s, policy)))
    {
        let mut simulation = Simulation {
            due: BTreeMap::new(),
            number: 0,
            outcomes: Default::default(),
            queue: WorkQueue::new(CAPACITY, policy, at(0)),
            seed: 42,
            surge,
        };
        (1..END_MS).for_each(|ms| simulation.step(ms));
        let [surging, others] = &mut simulation.outcomes;
        surging.print(policy, surge, "surging");
        others.print(policy, surge, "others");
    }
}
