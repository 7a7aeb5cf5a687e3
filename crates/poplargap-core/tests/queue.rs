//! Tests of the bounded waiting queue.

use {
    poplargap_core::{
        catalogue::PriorityClass,
        instant::MonotonicInstant,
        name::{RequestId, WorkspaceName},
        queue::{
            AGEING_STEP, RETRY_AFTER_FIXED, RETRY_AFTER_MAX, RefusalReason, RetryPolicy, WorkCost,
            WorkItem, WorkQueue,
        },
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{collections::BTreeSet, time::Duration},
};

const PRIORITIES: [PriorityClass; 3] = [
    PriorityClass::Interactive,
    PriorityClass::Standard,
    PriorityClass::Batch,
];

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn workspace(name: &str) -> WorkspaceName {
    name.try_into().expect("a checked name")
}

fn request(id: u64) -> RequestId {
    RequestId::try_from(format!("r{id}")).expect("a checked name")
}

fn item(id: u64, owner: &str, priority: PriorityClass, arrived: u64) -> WorkItem<()> {
    WorkItem {
        arrived: at(arrived),
        cost: WorkCost::ONE,
        id: request(id),
        latest_start: at(arrived + 3_600_000),
        payload: (),
        priority,
        workspace: workspace(owner),
    }
}

fn queue(capacity: u32) -> WorkQueue<()> {
    WorkQueue::new(capacity, RetryPolicy::DrainRate, at(0))
}

fn fill(queue: &mut WorkQueue<()>, owner: &str, ids: std::ops::Range<u64>, now: u64) {
    for id in ids {
        queue
            .push(item(id, owner, PriorityClass::Standard, now), at(now))
            .expect("the queue accepts the item");
    }
}

#[test]
fn urgent_class_is_served_first() {
    let mut queue = queue(8);
    for (id, priority) in (0..).zip(PRIORITIES.into_iter().rev()) {
        queue.push(item(id, "a", priority, 0), at(0)).expect("room");
    }
    let order: Vec<PriorityClass> = std::iter::from_fn(|| queue.pop(at(1)))
        .map(|item| item.priority)
        .collect();
    assert_eq!(order, PRIORITIES);
}

#[test]
fn batch_is_served_under_continuous_urgent_load() {
    let mut queue = queue(100);
    queue
        .push(item(0, "a", PriorityClass::Batch, 0), at(0))
        .expect("room");
    let served = (1..600).map(|step| step * 100).find(|now| {
        for id in [2 * now, 2 * now + 1] {
            drop(queue.push(item(id, "b", PriorityClass::Interactive, *now), at(*now)));
        }
        let popped = queue.pop(at(*now)).expect("an item is waiting");
        popped.priority == PriorityClass::Batch
    });
    let wait = at(served.expect("batch is served")).since(at(0));
    assert!(wait <= 2 * AGEING_STEP + Duration::from_secs(1), "{wait:?}");
}

/// Returns the longest wait of a quiet workspace when one item is served every 10 ms.
fn quiet_wait(surge: u64) -> Duration {
    let mut queue = queue(200);
    let mut longest = Duration::ZERO;
    for step in 0..1000 {
        let now = step * 10;
        for id in 0..surge {
            let id = 1_000_000 + step * surge + id;
            drop(queue.push(item(id, "surge", PriorityClass::Standard, now), at(now)));
        }
        if step % 4 == 0 {
            fill(&mut queue, "quiet", step..step + 1, now);
        }
        if let Some(item) = queue.pop(at(now))
            && item.workspace.as_str() == "quiet"
        {
            longest = longest.max(at(now).since(item.arrived));
        }
    }
    longest
}

#[test]
fn surge_does_not_lengthen_another_workspaces_wait() {
    assert_eq!(quiet_wait(0), Duration::ZERO);
    let wait = quiet_wait(50);
    assert!(wait <= Duration::from_millis(10), "{wait:?}");
}

#[test]
fn rounds_are_fair_by_cost_rather_than_by_item() {
    let mut queue = queue(100);
    for id in 0..40 {
        for (id, owner, cost) in [(id, "expensive", 400), (100 + id, "cheap", 100)] {
            let item = WorkItem {
                cost: WorkCost::new(cost),
                ..item(id, owner, PriorityClass::Standard, 0)
            };
            queue.push(item, at(0)).expect("room");
        }
    }
    let served: Vec<WorkItem<()>> = (0..25).filter_map(|_| queue.pop(at(1))).collect();
    let expensive = served
        .iter()
        .filter(|item| item.workspace.as_str() == "expensive");
    assert_eq!(expensive.count(), 5);
}

#[test]
fn full_queue_displaces_the_newest_item_of_the_largest_workspace() {
    let mut queue = queue(4);
    fill(&mut queue, "large", 0..4, 0);
    let displaced = queue
        .push(item(9, "small", PriorityClass::Standard, 1), at(1))
        .expect("the small workspace has room");
    assert_eq!(
        displaced,
        Some(item(3, "large", PriorityClass::Standard, 0))
    );
    let refusal = queue
        .push(item(10, "large", PriorityClass::Standard, 1), at(1))
        .expect_err("the large workspace uses its fair share");
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(queue.len(), 4);
}

#[test]
fn urgent_item_displaces_less_urgent_one_of_its_workspace() {
    let mut queue = queue(2);
    fill(&mut queue, "a", 0..2, 0);
    let urgent = item(2, "a", PriorityClass::Interactive, 1);
    let displaced = queue
        .push(urgent, at(1))
        .expect("the workspace's own item is displaced");
    assert_eq!(displaced, Some(item(1, "a", PriorityClass::Standard, 0)));
}

#[test]
fn item_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = queue(100);
    fill(&mut queue, "large", 0..60, 0);
    for step in 1..=20 {
        queue.pop(at(step * 100)).expect("an item is waiting");
    }
    let soon = |id, owner, latest_start| WorkItem {
        latest_start: at(latest_start),
        ..item(id, owner, PriorityClass::Standard, 2000)
    };
    let refusal = queue
        .push(soon(100, "large", 3000), at(2000))
        .expect_err("40 items at 10 a second");
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooNear);
    queue
        .push(soon(101, "small", 3000), at(2000))
        .expect("one item ahead");
    let refusal = queue
        .push(soon(102, "small", 1999), at(2000))
        .expect_err("the latest start has passed");
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooNear);
}

#[test]
fn expired_item_is_returned_and_never_served() {
    let mut queue = queue(4);
    let short = WorkItem {
        latest_start: at(50),
        ..item(0, "a", PriorityClass::Interactive, 0)
    };
    queue.push(short.clone(), at(0)).expect("room");
    fill(&mut queue, "a", 1..2, 0);
    assert_eq!(queue.next_expiry(), Some(at(50)));
    let served = queue.pop(at(51)).expect("one item is in time");
    assert_eq!(served, item(1, "a", PriorityClass::Standard, 0));
    assert_eq!(queue.expire(at(51)), [short]);
    assert_eq!(queue.expire(at(52)), []);
}

#[test]
fn cancelled_item_is_removed_and_its_id_can_be_reused() {
    let mut queue = queue(4);
    fill(&mut queue, "a", 0..2, 0);
    let refusal = queue
        .push(item(0, "b", PriorityClass::Standard, 0), at(0))
        .expect_err("the id is already waiting");
    assert_eq!(refusal.reason, RefusalReason::DuplicateRequest);
    assert!(queue.cancel(&request(0), at(1)).is_some());
    assert!(queue.cancel(&request(0), at(1)).is_none());
    fill(&mut queue, "a", 0..1, 2);
    assert_eq!(queue.len(), 2);
}

#[test]
fn refused_callers_retry_at_the_drain_rate() {
    let mut queue = queue(100);
    fill(&mut queue, "a", 0..100, 0);
    for step in 1..=50 {
        queue.pop(at(step * 100)).expect("an item is waiting");
    }
    let waits: Vec<f64> = (0..400)
        .map(|_| queue.retry_after(&workspace("a"), at(5000)).as_secs_f64())
        .collect();
    let (first, spread, last) = (waits[0], waits[90] - waits[0], waits[399]);
    assert!((4.0..7.0).contains(&first), "50 items at 10/s: {first}");
    assert!((8.0..12.0).contains(&spread), "90 callers at 9/s: {spread}");
    assert!(
        (last - RETRY_AFTER_MAX.as_secs_f64()).abs() < 0.01,
        "{last}"
    );
    let other = queue.retry_after(&workspace("b"), at(5000)).as_secs_f64();
    assert!(
        other < waits[10],
        "another workspace doesn't wait behind the first: {other}"
    );
}

#[test]
fn fixed_policy_gives_a_fixed_delay() {
    let mut queue = WorkQueue::new(8, RetryPolicy::Fixed, at(0));
    fill(&mut queue, "a", 0..8, 0);
    let wait = queue.retry_after(&workspace("a"), at(5000));
    assert_eq!(wait, RETRY_AFTER_FIXED);
}

#[derive(Clone, Debug)]
enum QueueStep {
    Cancel(u64),
    Expire,
    Pop,
    Push {
        cost: u32,
        owner: usize,
        patience: u64,
        priority: usize,
    },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<QueueStep>> {
    let push = (1..9_u32, 0..5_usize, 1..40_000_u64, 0..3_usize);
    let step = prop_oneof![
        1 => (0..80_u64).prop_map(QueueStep::Cancel),
        1 => Just(QueueStep::Expire),
        3 => Just(QueueStep::Pop),
        6 => push.prop_map(|(cost, owner, patience, priority)| {
            QueueStep::Push { cost, owner, patience, priority }
        }),
        2 => (0..4000_u64).prop_map(QueueStep::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_item_leaves_the_queue_once_and_in_time(steps in steps()) {
        const CAPACITY: u32 = 10;
        let owners = ["w0", "w1", "w2", "w3", "w4"];
        let mut queue = queue(CAPACITY);
        let mut now = 0;
        let mut queued: BTreeSet<RequestId> = BTreeSet::new();
        for (number, step) in (0..).zip(steps) {
            match step {
                QueueStep::Cancel(id) => {
                    let cancelled = queue.cancel(&request(id), at(now));
                    if let Some(item) = cancelled {
                        prop_assert!(queued.remove(&item.id));
                    }
                }
                QueueStep::Expire => {
                    for expired in queue.expire(at(now)) {
                        prop_assert!(expired.latest_start < at(now));
                        prop_assert!(queued.remove(&expired.id));
                    }
                }
                QueueStep::Pop => match queue.pop(at(now)) {
                    Some(served) => {
                        prop_assert!(served.latest_start >= at(now));
                        prop_assert!(queued.remove(&served.id));
                    }
                    None => prop_assert!(queue.is_empty()),
                },
                QueueStep::Push { cost, owner, patience, priority } => {
                    let pushed = WorkItem {
                        cost: WorkCost::new(cost),
                        latest_start: at(now + patience),
                        ..item(number, owners[owner], PRIORITIES[priority], now)
                    };
                    let own = queue.waiting_of(&pushed.workspace);
                    let most = owners.map(|owner| queue.waiting_of(&workspace(owner)));
                    let sharers = most.iter().filter(|count| **count > 0).count();
                    let sharers = sharers + usize::from(own == 0);
                    let most = most.into_iter().max().unwrap_or(0);
                    match queue.push(pushed.clone(), at(now)) {
                        Ok(displaced) => {
                            prop_assert!(queued.insert(pushed.id));
                            if let Some(displaced) = displaced {
                                prop_assert!(queued.remove(&displaced.id));
                            }
                        }
                        Err(refusal) if refusal.reason == RefusalReason::QueueFull => {
                            let fair_share_used = own * sharers >= CAPACITY as usize;
                            prop_assert!(fair_share_used || own + 1 >= most, "own {own}, most {most}");
                        }
                        Err(_) => {}
                    }
                }
                QueueStep::Wait(ms) => now += ms,
            }
            prop_assert!(queue.len() <= CAPACITY as usize);
        }
        let left: BTreeSet<RequestId> = queue.close().into_iter().map(|item| item.id).collect();
        prop_assert_eq!(left, queued);
    }
}
