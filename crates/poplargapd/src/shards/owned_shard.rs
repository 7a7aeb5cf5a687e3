//! State of one shard at a daemon that is or was its owner.

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

/// A waiting request's reply channel, and the data by which its upstream is chosen.
#[derive(Debug)]
pub(super) struct WaitingWork {
    pub(super) reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    pub(super) request: PlaceRequest,
}

/// Whether this daemon is the owner of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OwnerPhase {
    /// Another daemon is the owner; requests that were sent earlier may still run.
    Former,
    /// This daemon is the owner and places requests.
    Active,
    /// This daemon is the owner and waits for the upstreams' reports before it places requests.
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

/// Interval at which the upstreams' load reports are read while they are needed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl OwnedShard {
    /// Returns whether the upstreams' load reports must be read now, and records that they are.
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

    /// Queues a request; refuses it, or the one that it displaces, if the queue is full.
    pub(super) fn enqueue(&mut self, work: PlaceWork, now: MonotonicInstant) {
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

    /// Refuses the waiting requests that can no longer start in time.
    pub(super) fn expire(&mut self, now: MonotonicInstant) {
        for item in self.queue.expire(now) {
            self.refuse(item, RefusalReason::Expired, now);
        }
    }

    /// Refuses all waiting requests, since another daemon is the owner now.
    pub(super) fn refuse_waiting(&mut self, now: MonotonicInstant) {
        while let Some(item) = self.queue.pop(now) {
            send_reply(
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
        send_reply(item.payload.reply, Err(refusal));
    }
}

/// Sends a reply; if its receiver is gone, the dropped permit releases the upstream.
pub(super) fn send_reply(
    reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    result: Result<PlaceReply, RelayRefusal>,
) {
    drop(reply.send(result));
}
