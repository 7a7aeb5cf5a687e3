//! The waiting queue itself.

use {
    super::{
        DrainRate, QueueRefusal, RETRY_AFTER_FIXED, RETRY_AFTER_MAX, RETRY_AFTER_MIN,
        RefusalReason, RetryPolicy, WorkCost, WorkItem,
        class_lane::{ClassLane, QueueTicket},
    },
    crate::{
        catalogue::PriorityClass,
        collections::HashMap,
        instant::MonotonicInstant,
        name::{RequestId, WorkspaceName},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Wait after which an item rises by one class.
pub const AGEING_STEP: Duration = Duration::from_secs(10);

/// Shortest wait that tells an item that waited from one that passed an empty queue.
const WAIT_MIN: Duration = Duration::from_millis(1);

/// Share of the drain rate at which refused callers are asked back.
const RETURN_SHARE: f64 = 0.9;

const LANE_COUNT: usize = 3;

#[derive(Debug)]
struct WaitingItem<T> {
    item: WorkItem<T>,
    lane: usize,
}

/// A bounded queue that shares an upstream pool between classes and workspaces.
#[derive(Debug)]
pub struct WorkQueue<T> {
    capacity: usize,
    deadlines: BTreeSet<(MonotonicInstant, u64)>,
    drain: DrainRate,
    held: HashMap<WorkspaceName, usize>,
    items: BTreeMap<u64, WaitingItem<T>>,
    lanes: [ClassLane; LANE_COUNT],
    late: Vec<WorkItem<T>>,
    numbers: HashMap<RequestId, u64>,
    policy: RetryPolicy,
    pushed: u64,
    returns: HashMap<WorkspaceName, MonotonicInstant>,
}

impl<T> WorkQueue<T> {
    /// Creates an empty queue for at most `capacity` items.
    #[must_use]
    pub fn new(capacity: u32, policy: RetryPolicy, now: MonotonicInstant) -> Self {
        Self {
            capacity: capacity as usize,
            deadlines: BTreeSet::new(),
            drain: DrainRate::new(now),
            held: HashMap::default(),
            items: BTreeMap::new(),
            lanes: Default::default(),
            late: Vec::new(),
            numbers: HashMap::default(),
            policy,
            pushed: 0,
            returns: HashMap::default(),
        }
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting items of `workspace`.
    #[must_use]
    pub fn held_by(&self, workspace: &WorkspaceName) -> usize {
        self.held.get(workspace).copied().unwrap_or(0)
    }

    /// Returns when [`WorkQueue::expire`] has something to give, if nothing changes.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonotonicInstant> {
        self.deadlines
            .first()
            .map(|(latest_start, _)| *latest_start)
    }

    /// Changes the bound; items above a lowered bound stay.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity as usize;
    }

    /// Adds an item and returns the one that had to give way, if any.
    ///
    /// The displaced item provably didn't run.
    ///
    /// # Errors
    ///
    /// Returns the item when it can't start in time or when the queue is full and the item's
    /// workspace holds its equal part of it.
    pub fn push(
        &mut self,
        item: WorkItem<T>,
        now: MonotonicInstant,
    ) -> Result<Option<WorkItem<T>>, QueueRefusal<T>> {
        self.advance(now);
        let admission = self.make_room(&item, now);
        match admission {
            Ok(displaced) => {
                let displaced = displaced.and_then(|number| self.remove(number));
                self.insert(item);
                Ok(displaced)
            }
            Err(reason) => Err(QueueRefusal { item, reason }),
        }
    }

    /// Takes the item that is served next.
    ///
    /// Items past their latest start are kept for [`WorkQueue::expire`].
    pub fn pop(&mut self, now: MonotonicInstant) -> Option<WorkItem<T>> {
        self.advance(now);
        self.collect_late(now);
        self.raise_aged(now);
        let ticket = self.lanes.iter_mut().find_map(ClassLane::pop)?;
        let item = self.forget(ticket.number)?;
        if now.since(item.arrived) >= WAIT_MIN {
            self.drain.record(item.cost);
        }
        Some(item)
    }

    /// Takes the items that can't start in time any more.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<WorkItem<T>> {
        self.advance(now);
        self.collect_late(now);
        std::mem::take(&mut self.late)
    }

    /// Takes the item of request `id`, whose caller went away.
    pub fn cancel(&mut self, id: &RequestId, now: MonotonicInstant) -> Option<WorkItem<T>> {
        self.advance(now);
        let number = self.numbers.get(id).copied()?;
        self.remove(number)
    }

    /// Returns the expected wait of a new item, or `None` while the drain rate is unknown.
    #[must_use]
    pub fn expected_wait(
        &self,
        workspace: &WorkspaceName,
        priority: PriorityClass,
        cost: WorkCost,
    ) -> Option<Duration> {
        let lane = lane_of(priority);
        let urgent: u64 = self.lanes[..lane].iter().map(ClassLane::cost).sum();
        let own = self.lanes[lane].cost_ahead(workspace, cost.units());
        self.drain.drain_time(urgent + own)
    }

    /// Returns when a refused caller of `workspace` should come back.
    ///
    /// With [`RetryPolicy::DrainRate`] the refused callers of each workspace are asked back one
    /// after the other, at an equal part of a little less than the drain rate (Gotin et al., 2019,
    /// sections 4.4 and 4.5), once the items that wait now are gone.
    pub fn retry_after(&mut self, workspace: &WorkspaceName, now: MonotonicInstant) -> Duration {
        self.advance(now);
        let rate = match self.policy {
            RetryPolicy::DrainRate => self.drain.units_per_second(),
            RetryPolicy::Fixed => None,
        };
        let Some(rate) = rate else {
            return RETRY_AFTER_FIXED;
        };
        self.returns.retain(|_, due| *due > now);
        let sharers = self.returns.len().max(self.held.len()).max(1);
        let gap = Duration::from_secs_f64(sharers as f64 / (rate * RETURN_SHARE));
        let backlog = self.lanes.iter().map(ClassLane::cost).sum();
        let drained = now + self.drain.drain_time(backlog).unwrap_or_default();
        let latest = now + RETRY_AFTER_MAX;
        let due = self.returns.entry(workspace.clone()).or_insert(drained);
        *due = (*due + gap).min(latest);
        due.since(now).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Closes the queue and returns all that still waits, in order of arrival.
    #[must_use]
    pub fn close(self) -> Vec<WorkItem<T>> {
        let waiting = self.items.into_values().map(|waiting| waiting.item);
        self.late.into_iter().chain(waiting).collect()
    }

    fn advance(&mut self, now: MonotonicInstant) {
        let busy = !self.items.is_empty();
        self.drain.advance(now, busy);
    }

    fn make_room(
        &self,
        item: &WorkItem<T>,
        now: MonotonicInstant,
    ) -> Result<Option<u64>, RefusalReason> {
        if self.numbers.contains_key(&item.id) {
            return Err(RefusalReason::DuplicateRequest);
        }
        let wait = self.expected_wait(&item.workspace, item.priority, item.cost);
        if now + wait.unwrap_or_default() > item.latest_start {
            return Err(RefusalReason::DeadlineTooNear);
        }
        if self.items.len() < self.capacity {
            return Ok(None);
        }
        self.displaceable(item)
            .map(Some)
            .ok_or(RefusalReason::QueueFull)
    }

    /// Returns the item that gives way to `item` in a full queue.
    fn displaceable(&self, item: &WorkItem<T>) -> Option<u64> {
        let own = self.held_by(&item.workspace);
        let sharers = self.held.len() + usize::from(own == 0);
        if own * sharers >= self.capacity {
            return self.newest_below(&item.workspace, lane_of(item.priority) + 1);
        }
        let (workspace, most) = self
            .held
            .iter()
            .max_by_key(|(name, held)| (**held, *name))?;
        if *most <= own + 1 {
            return self.newest_below(&item.workspace, lane_of(item.priority) + 1);
        }
        self.newest_below(workspace, 0)
    }

    /// Returns the newest item of `workspace` in its least urgent lane, from `lane` on.
    fn newest_below(&self, workspace: &WorkspaceName, lane: usize) -> Option<u64> {
        self.lanes[lane..]
            .iter()
            .rev()
            .find_map(|lane| lane.newest_of(workspace))
            .map(|ticket| ticket.number)
    }

    fn insert(&mut self, item: WorkItem<T>) {
        let number = self.pushed;
        self.pushed += 1;
        let lane = lane_of(item.priority);
        let ticket = QueueTicket {
            cost: item.cost.units(),
            number,
            since: item.arrived,
        };
        self.lanes[lane].push(&item.workspace, ticket);
        self.deadlines.insert((item.latest_start, number));
        self.numbers.insert(item.id.clone(), number);
        *self.held.entry(item.workspace.clone()).or_default() += 1;
        self.items.insert(number, WaitingItem { item, lane });
    }

    /// Removes an item and its ticket.
    fn remove(&mut self, number: u64) -> Option<WorkItem<T>> {
        let waiting = self.items.get(&number)?;
        self.lanes[waiting.lane].remove(&waiting.item.workspace, number);
        self.forget(number)
    }

    /// Removes an item whose ticket is gone.
    fn forget(&mut self, number: u64) -> Option<WorkItem<T>> {
        let WaitingItem { item, .. } = self.items.remove(&number)?;
        self.deadlines.remove(&(item.latest_start, number));
        self.numbers.remove(&item.id);
        if let Some(held) = self.held.get_mut(&item.workspace) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&item.workspace);
            }
        }
        Some(item)
    }

    fn collect_late(&mut self, now: MonotonicInstant) {
        while let Some((latest_start, number)) = self.deadlines.first().copied() {
            if latest_start >= now {
                return;
            }
            let item = self.remove(number);
            self.late.extend(item);
        }
    }

    fn raise_aged(&mut self, now: MonotonicInstant) {
        if now.since(MonotonicInstant::default()) < AGEING_STEP {
            return;
        }
        for lane in 1..LANE_COUNT {
            for (workspace, ticket) in self.lanes[lane].take_aged(now - AGEING_STEP) {
                if let Some(waiting) = self.items.get_mut(&ticket.number) {
                    waiting.lane = lane - 1;
                }
                let ticket = QueueTicket {
                    since: now,
                    ..ticket
                };
                self.lanes[lane - 1].push(&workspace, ticket);
            }
        }
    }
}

fn lane_of(priority: PriorityClass) -> usize {
    match priority {
        PriorityClass::Interactive => 0,
        PriorityClass::Standard => 1,
        PriorityClass::Batch => 2,
    }
}
