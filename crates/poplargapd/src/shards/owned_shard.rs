//! One shard at a daemon that is or was its home.

use {
    super::messages::{PlaceReply, PlaceWork},
    poplargap_core::{
        instant::MonotonicInstant,
        name::UpstreamName,
        owner::{
            PlaceRefusal, PlaceRequest, PlacementPolicy, PolicyChoice, PolicyKind, PoolLoad,
            ShardOwner,
        },
        queue::{RefusalReason as QueueReason, WorkCost, WorkItem, WorkQueue},
    },
    poplargap_link::envelope::{RefusalReason, RelayRefusal},
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Where a request that waits gets its answer, and what decides its upstream.
#[derive(Debug)]
pub(super) struct WaitingWork {
    pub(super) reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    pub(super) request: PlaceRequest,
}

/// Whether a daemon is the home of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnerPhase {
    /// Another daemon is the home; requests sent before still run.
    Former,
    /// Places work.
    Active,
    /// Waits for the upstreams' reports before placing work.
    TakingOver,
}

/// Loads, queue and phase of one shard.
#[derive(Debug)]
pub(super) struct OwnedShard {
    pub(super) owner: ShardOwner,
    pub(super) phase: OwnerPhase,
    pub(super) probed: MonotonicInstant,
    pub(super) queue: WorkQueue<WaitingWork>,
}

/// Time between two readings of the upstreams' own reports, while these are needed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl OwnedShard {
    /// Returns whether the upstreams' own reports are needed now, and notes the reading.
    pub(super) fn needs_reports(&mut self, policy: PolicyKind, now: MonotonicInstant) -> bool {
        let inherited = self.owner.loads().any(|load| load.inherited > 0);
        let wanted = inherited || policy == PolicyKind::LeastLoad;
        if !wanted || now.since(self.probed) < PROBE_INTERVAL {
            return false;
        }
        self.probed = now;
        true
    }

    /// Chooses an upstream now.
    pub(super) fn place(
        &mut self,
        policy: &mut PolicyChoice,
        request: &PlaceRequest,
        others: PoolLoad,
        random: u64,
        now: MonotonicInstant,
    ) -> Result<UpstreamName, PlaceRefusal> {
        match policy {
            PolicyChoice::Hash(policy) => self.place_by(policy, request, others, random, now),
            PolicyChoice::Affinity(policy) => self.place_by(policy, request, others, random, now),
            PolicyChoice::LeastLoad(policy) => self.place_by(policy, request, others, random, now),
            PolicyChoice::Random(policy) => self.place_by(policy, request, others, random, now),
        }
    }

    fn place_by<P: PlacementPolicy>(
        &mut self,
        policy: &mut P,
        request: &PlaceRequest,
        others: PoolLoad,
        random: u64,
        now: MonotonicInstant,
    ) -> Result<UpstreamName, PlaceRefusal> {
        self.owner.place(policy, request, others, random, now)
    }

    /// Lets a request wait; refuses it, or the one that gives way to it.
    pub(super) fn wait(&mut self, work: PlaceWork, now: MonotonicInstant) {
        let item = WorkItem {
            arrived: now,
            cost: WorkCost::ONE,
            id: work.id,
            latest_start: work.deadline,
            payload: WaitingWork {
                reply: work.reply,
                request: work.request,
            },
            priority: work.priority,
            workspace: work.workspace,
        };
        match self.queue.push(item, now) {
            Ok(None) => {}
            Ok(Some(displaced)) => self.refuse(displaced, RefusalReason::QueueFull, now),
            Err(refusal) => {
                let reason = match refusal.reason {
                    QueueReason::DeadlineTooNear => RefusalReason::Expired,
                    QueueReason::DuplicateRequest | QueueReason::QueueFull => {
                        RefusalReason::QueueFull
                    }
                };
                self.refuse(refusal.item, reason, now);
            }
        }
    }

    /// Refuses the requests that can't start in time any more.
    pub(super) fn expire(&mut self, now: MonotonicInstant) {
        for item in self.queue.expire(now) {
            self.refuse(item, RefusalReason::Expired, now);
        }
    }

    /// Refuses everything that waits, since another daemon is the home now.
    pub(super) fn move_waiting(&mut self, now: MonotonicInstant) {
        while let Some(item) = self.queue.pop(now) {
            answer(
                item.payload.reply,
                Err(RelayRefusal::not_run(RefusalReason::Moved)),
            );
        }
    }

    fn refuse(
        &mut self,
        item: WorkItem<WaitingWork>,
        reason: RefusalReason,
        now: MonotonicInstant,
    ) {
        let wait: Duration = self.queue.retry_after(&item.workspace, now);
        let mut refusal = RelayRefusal::not_run(reason);
        refusal.retry_after_ms = u64::try_from(wait.as_millis()).ok();
        answer(item.payload.reply, Err(refusal));
    }
}

/// Answers a request unless its asker has gone; an upstream given in vain is released by its permit.
pub(super) fn answer(
    reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    result: Result<PlaceReply, RelayRefusal>,
) {
    drop(reply.send(result));
}
