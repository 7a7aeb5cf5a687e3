//! The bounded waiting queue with priorities, ageing and fair shares.

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

/// Wait in a lane after which an item is promoted by one class.
pub const AGEING_STEP: Duration = Duration::from_secs(10);

/// Shortest wait of an item that counts as queued; shorter ones passed through an empty queue.
const WAIT_MIN: Duration = Duration::from_millis(1);

/// Share of the drain rate at which refused callers are scheduled to retry.
const RETRY_RATE_SHARE: f64 = 0.9;

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
    waiting_counts: HashMap<WorkspaceName, usize>,
    items: BTreeMap<u64, WaitingItem<T>>,
    lanes: [ClassLane; LANE_COUNT],
    expired: Vec<WorkItem<T>>,
    numbers_by_id: HashMap<RequestId, u64>,
    policy: RetryPolicy,
    next_number: u64,
    next_retries: HashMap<WorkspaceName, MonotonicInstant>,
}

impl<T> WorkQueue<T> {
    /// Creates an empty queue for at most `capacity` items.
    #[must_use]
    pub fn new(capacity: u32, policy: RetryPolicy, now: MonotonicInstant) -> Self {
        Self {
            capacity: capacity as usize,
            deadlines: BTreeSet::new(),
            drain: DrainRate::new(now),
            waiting_counts: HashMap::default(),
            items: BTreeMap::new(),
            lanes: Default::default(),
            expired: Vec::new(),
            numbers_by_id: HashMap::default(),
            policy,
            next_number: 0,
            next_retries: HashMap::default(),
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
    pub fn waiting_of(&self, workspace: &WorkspaceName) -> usize {
        self.waiting_counts.get(workspace).copied().unwrap_or(0)
    }

    /// Returns the earliest latest start of the waiting items, when [`WorkQueue::expire`] is due.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonotonicInstant> {
        self.deadlines
            .first()
            .map(|(latest_start, _)| *latest_start)
    }

    /// Changes the capacity; items beyond a lower capacity stay queued.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity as usize;
    }

    /// Adds an item and returns the item that it displaced from a full queue, if any.
    ///
    /// The displaced item certainly didn't run.
    ///
    /// # Errors
    ///
    /// Returns the item when its request is already waiting, when it can't start in time, or when
    /// the queue is full and the item's workspace uses its fair share of it.
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

    /// Removes and returns the next item to serve.
    ///
    /// Items past their latest start are skipped and kept for [`WorkQueue::expire`].
    pub fn pop(&mut self, now: MonotonicInstant) -> Option<WorkItem<T>> {
        self.advance(now);
        self.collect_expired(now);
        self.promote_aged(now);
        let ticket = self.lanes.iter_mut().find_map(ClassLane::pop)?;
        let item = self.remove_record(ticket.number)?;
        if now.since(item.arrived) >= WAIT_MIN {
            self.drain.record(item.cost);
        }
        Some(item)
    }

    /// Removes and returns the items that are past their latest start.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<WorkItem<T>> {
        self.advance(now);
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes and returns the item of request `id`, whose caller disconnected.
    pub fn cancel(&mut self, id: &RequestId, now: MonotonicInstant) -> Option<WorkItem<T>> {
        self.advance(now);
        let number = self.numbers_by_id.get(id).copied()?;
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

    /// Returns the time after which a refused caller of `workspace` should retry.
    ///
    /// With [`RetryPolicy::DrainRate`], the retries of each workspace are scheduled one after
    /// another, starting when the items that wait now are expected to be drained. Each workspace
    /// gets an equal share of a rate slightly below the drain rate (Gotin et al., 2019,
    /// sections 4.4 and 4.5).
    pub fn retry_after(&mut self, workspace: &WorkspaceName, now: MonotonicInstant) -> Duration {
        self.advance(now);
        let rate = match self.policy {
            RetryPolicy::DrainRate => self.drain.units_per_second(),
            RetryPolicy::Fixed => None,
        };
        let Some(rate) = rate else {
            return RETRY_AFTER_FIXED;
        };
        self.next_retries.retain(|_, due| *due > now);
        let sharers = self
            .next_retries
            .len()
            .max(self.waiting_counts.len())
            .max(1);
        let gap = Duration::from_secs_f64(sharers as f64 / (rate * RETRY_RATE_SHARE));
        let backlog = self.lanes.iter().map(ClassLane::cost).sum();
        let drained = now + self.drain.drain_time(backlog).unwrap_or_default();
        let latest = now + RETRY_AFTER_MAX;
        let due = self
            .next_retries
            .entry(workspace.clone())
            .or_insert(drained);
        *due = (*due + gap).min(latest);
        due.since(now).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Closes the queue and returns its items: the expired ones, then the others by arrival.
    #[must_use]
    pub fn close(self) -> Vec<WorkItem<T>> {
        let waiting = self.items.into_values().map(|waiting| waiting.item);
        self.expired.into_iter().chain(waiting).collect()
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
        if self.numbers_by_id.contains_key(&item.id) {
            return Err(RefusalReason::DuplicateRequest);
        }
        let wait = self.expected_wait(&item.workspace, item.priority, item.cost);
        if now + wait.unwrap_or_default() > item.latest_start {
            return Err(RefusalReason::DeadlineTooNear);
        }
        if self.items.len() < self.capacity {
            return Ok(None);
        }
        self.find_displaceable(item)
            .map(Some)
            .ok_or(RefusalReason::QueueFull)
    }

    /// Returns the number of the item that `item` may displace from a full queue.
    fn find_displaceable(&self, item: &WorkItem<T>) -> Option<u64> {
        let own = self.waiting_of(&item.workspace);
        let sharers = self.waiting_counts.len() + usize::from(own == 0);
        if own * sharers >= self.capacity {
            return self.newest_from(&item.workspace, lane_of(item.priority) + 1);
        }
        let (workspace, most) = self
            .waiting_counts
            .iter()
            .max_by_key(|(name, count)| (**count, *name))?;
        if *most <= own + 1 {
            return self.newest_from(&item.workspace, lane_of(item.priority) + 1);
        }
        self.newest_from(workspace, 0)
    }

    /// Returns the newest item of `workspace` in its least urgent lane at or after `lane`.
    fn newest_from(&self, workspace: &WorkspaceName, lane: usize) -> Option<u64> {
        self.lanes[lane..]
            .iter()
            .rev()
            .find_map(|lane| lane.newest_of(workspace))
            .map(|ticket| ticket.number)
    }

    fn insert(&mut self, item: WorkItem<T>) {
        let number = self.next_number;
        self.next_number += 1;
        let lane = lane_of(item.priority);
        let ticket = QueueTicket {
            cost: item.cost.units(),
            number,
            since: item.arrived,
        };
        self.lanes[lane].push(&item.workspace, ticket);
        self.deadlines.insert((item.latest_start, number));
        self.numbers_by_id.insert(item.id.clone(), number);
        *self
            .waiting_counts
            .entry(item.workspace.clone())
            .or_default() += 1;
        self.items.insert(number, WaitingItem { item, lane });
    }

    /// Removes an item and its ticket.
    fn remove(&mut self, number: u64) -> Option<WorkItem<T>> {
        let waiting = self.items.get(&number)?;
        self.lanes[waiting.lane].remove(&waiting.item.workspace, number);
        self.remove_record(number)
    }

    /// Removes an item whose ticket was already removed from its lane.
    fn remove_record(&mut self, number: u64) -> Option<WorkItem<T>> {
        let WaitingItem { item, .. } = self.items.remove(&number)?;
        self.deadlines.remove(&(item.latest_start, number));
        self.numbers_by_id.remove(&item.id);
        if let Some(count) = self.waiting_counts.get_mut(&item.workspace) {
            *count -= 1;
            if *count == 0 {
                self.waiting_counts.remove(&item.workspace);
            }
        }
        Some(item)
    }

    fn collect_expired(&mut self, now: MonotonicInstant) {
        while let Some((latest_start, number)) = self.deadlines.first().copied() {
            if latest_start >= now {
                return;
            }
            let item = self.remove(number);
            self.expired.extend(item);
        }
    }

    fn promote_aged(&mut self, now: MonotonicInstant) {
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
