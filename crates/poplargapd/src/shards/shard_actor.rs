//! Actor with the exact load of every upstream in the shards that this daemon owns.

use {
    super::{
        PlacePermit, UpstreamClients,
        messages::{PlaceReply, ProbedLoads},
        owned_shard::{OwnedShard, OwnerPhase, WaitingWork, send_reply},
        shard_reports::{pool_digest, upstream_digest},
    },
    crate::{
        clock::ProcessClock,
        invariant::{Invariant, InvariantMonitor},
        members::{MemberView, VmView},
        metrics::DaemonMetrics,
    },
    poplargap_core::{
        catalogue::CatalogueSnapshot,
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        name::{DataCentre, PoolName},
        owner::{PlaceRefusal, PlaceRequest, PolicyChoice, PolicyKind, PoolLoad, ShardOwner},
        queue::{RetryPolicy, WorkItem, WorkQueue},
        shard::{PoolShard, ShardId},
    },
    poplargap_link::{
        envelope::{RefusalReason, RelayRefusal},
        heartbeat::{PoolSummary, ShardReport},
    },
    rand::{RngCore, SeedableRng, rngs::SmallRng},
    slog::Logger,
    std::{num::NonZeroUsize, sync::Arc, time::Duration},
    tokio::sync::watch,
    xtra::prelude::{Actor, Context},
};

/// Longest wait after a pause for the catalogue to be read before requests are placed.
const CATCH_UP_MAX: Duration = Duration::from_secs(3);

/// Settings of the shard actor.
#[derive(Debug)]
pub struct ShardSettings {
    /// Chats whose last upstream is remembered.
    pub chats: NonZeroUsize,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// How an upstream is chosen.
    pub policy: PolicyKind,
    /// Seed of random choices.
    pub seed: u64,
    /// Time without heartbeats after which a daemon counts as failed.
    pub suspect: Duration,
}

/// Holds the loads, queues and epochs of the shards that this daemon owns.
#[derive(Debug)]
pub struct ShardActor {
    pub(super) inputs: ShardInputs,
    pub(super) settings: ShardSettings,
    policy: PolicyChoice,
    rng: SmallRng,
    pub(super) refreshed: MonotonicInstant,
    resumed: MonotonicInstant,
    pub(super) shards: HashMap<ShardId, OwnedShard>,
}

/// Channels and services that the actor uses.
#[derive(Debug)]
pub(crate) struct ShardInputs {
    pub(crate) catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    pub(crate) clients: UpstreamClients,
    pub(crate) clock: ProcessClock,
    pub(crate) confirmed: watch::Receiver<MonotonicInstant>,
    pub(crate) invariants: InvariantMonitor,
    pub(crate) log: Logger,
    pub(crate) members: watch::Receiver<Arc<MemberView>>,
    pub(crate) metrics: Arc<DaemonMetrics>,
    pub(crate) pools: watch::Sender<Vec<PoolSummary>>,
    pub(crate) reports: watch::Sender<Vec<ShardReport>>,
    pub(crate) vms: watch::Receiver<Arc<VmView>>,
}

impl ShardActor {
    /// Creates an actor that owns no shard yet.
    pub(crate) fn new(settings: ShardSettings, inputs: ShardInputs) -> Self {
        let policy = PolicyChoice::new(settings.policy, settings.chats);
        let rng = SmallRng::seed_from_u64(settings.seed);
        let refreshed = inputs.clock.now();
        Self {
            inputs,
            policy,
            rng,
            refreshed,
            resumed: MonotonicInstant::default(),
            settings,
            shards: HashMap::new(),
        }
    }

    /// Returns whether this daemon places requests for `shard`.
    ///
    /// Under a baseline policy shards have no owner, and every daemon places requests itself.
    fn is_owner(&self, members: &MemberView, shard: &ShardId) -> bool {
        self.settings.policy != PolicyKind::Affinity || members.is_owner_of(shard)
    }

    pub(super) fn refresh(&mut self, ctx: &Context<Self>) {
        let now = self.inputs.clock.now();
        self.reset_after_pause(now);
        let catalogue = Arc::clone(&self.inputs.catalogue.borrow_and_update());
        let members = Arc::clone(&self.inputs.members.borrow_and_update());
        let data_centre = self.settings.data_centre.clone();
        for shard in catalogue.shards_in(&data_centre) {
            if self.is_caught_up(now) && self.is_owner(&members, &shard.id) {
                self.keep_shard(shard, &catalogue, &members, ctx, now);
            } else {
                self.give_up_shard(&shard.id, now);
            }
        }
        self.drop_removed_shards(&catalogue, now);
        self.update_leaving();
        self.update_residuals(&members);
        self.serve_queues(now, ctx);
        self.publish_reports(now);
    }

    /// Gives up all shards after a pause in which another daemon may have taken them over.
    fn reset_after_pause(&mut self, now: MonotonicInstant) {
        let pause = now.since(self.refreshed);
        self.refreshed = now;
        if pause <= self.settings.suspect {
            return;
        }
        slog::warn!(self.inputs.log, "daemon was paused"; "pause_ms" => u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
        self.resumed = now;
        for shard in self.shards.values_mut() {
            shard.phase = OwnerPhase::Former;
        }
    }

    /// Returns whether the catalogue was read since the last pause or [`CATCH_UP_MAX`] has passed.
    fn is_caught_up(&self, now: MonotonicInstant) -> bool {
        *self.inputs.confirmed.borrow() >= self.resumed || now.since(self.resumed) > CATCH_UP_MAX
    }

    /// Updates a shard that this daemon owns, and takes it over if the daemon wasn't its owner
    /// before or a peer reports a higher epoch.
    fn keep_shard(
        &mut self,
        shard: &PoolShard,
        catalogue: &CatalogueSnapshot,
        members: &MemberView,
        ctx: &Context<Self>,
        now: MonotonicInstant,
    ) {
        let Some(pool) = catalogue.pools.get(&shard.id.pool) else {
            return;
        };
        let highest_epoch = members.highest_epoch(&shard.id);
        let owned = self
            .shards
            .entry(shard.id.clone())
            .or_insert_with(|| OwnedShard {
                owner: ShardOwner::new(0, Arc::clone(pool), shard),
                phase: OwnerPhase::Former,
                probed: now,
                queue: WorkQueue::new(pool.queue, RetryPolicy::Fixed, now),
            });
        owned.owner.set_pool(Arc::clone(pool));
        owned.owner.set_upstreams(shard);
        owned.queue.resize(pool.queue);
        let superseded = owned.phase != OwnerPhase::Former && highest_epoch > owned.owner.epoch();
        if owned.phase == OwnerPhase::Former || superseded {
            let epoch = highest_epoch.max(owned.owner.epoch()) + 1;
            owned.owner.set_epoch(epoch);
            owned.phase = OwnerPhase::TakingOver;
            slog::info!(self.inputs.log, "shard taken over"; "shard" => %shard.id, "epoch" => epoch);
            self.probe(shard, epoch, ctx);
        } else if owned.needs_reports(self.settings.policy, now) {
            let epoch = owned.owner.epoch();
            self.probe(shard, epoch, ctx);
        }
    }

    /// Requests the upstreams' load reports, which arrive in a [`ProbedLoads`] message.
    fn probe(&self, shard: &PoolShard, epoch: u64, ctx: &Context<Self>) {
        let (address, clients) = (ctx.mailbox().address(), self.inputs.clients.clone());
        let (id, upstreams) = (shard.id.clone(), shard.upstreams.clone());
        tokio::spawn(async move {
            let loads = clients.loads(&upstreams).await;
            let message = ProbedLoads {
                epoch,
                loads,
                shard: id,
            };
            drop(address.send(message).await);
        });
    }

    fn give_up_shard(&mut self, id: &ShardId, now: MonotonicInstant) {
        let Some(owned) = self.shards.get_mut(id) else {
            return;
        };
        if owned.phase != OwnerPhase::Former {
            slog::info!(self.inputs.log, "shard given up"; "shard" => %id, "epoch" => owned.owner.epoch());
        }
        owned.phase = OwnerPhase::Former;
        owned.owner.clear_former_loads();
        owned.refuse_waiting(now);
    }

    fn drop_removed_shards(&mut self, catalogue: &CatalogueSnapshot, now: MonotonicInstant) {
        let listed: Vec<ShardId> = catalogue
            .shards_in(&self.settings.data_centre)
            .map(|shard| shard.id.clone())
            .collect();
        for (id, owned) in &mut self.shards {
            if !listed.contains(id) {
                owned.phase = OwnerPhase::Former;
                owned.refuse_waiting(now);
            }
        }
        self.shards
            .retain(|id, owned| listed.contains(id) || owned.owner.load(now).in_flight > 0);
    }

    fn update_leaving(&mut self) {
        let vms = Arc::clone(&self.inputs.vms.borrow());
        for owned in self.shards.values_mut() {
            owned
                .owner
                .set_leaving(|upstream| vms.leaving.contains(upstream));
        }
    }

    /// Counts requests that former owners still have at the upstreams toward the bound.
    fn update_residuals(&mut self, members: &MemberView) {
        for (id, owned) in &mut self.shards {
            if owned.phase == OwnerPhase::Active {
                owned
                    .owner
                    .set_residuals(|upstream| members.residual_of(id, upstream_digest(upstream)));
            }
        }
    }

    /// Returns the load of the pool's other shards, including those in other data centres.
    fn load_of_others(&self, shard: &ShardId) -> PoolLoad {
        let remote = self
            .inputs
            .members
            .borrow()
            .remote_loads
            .get(&pool_digest(&shard.pool))
            .copied();
        let local = self.local_load(&shard.pool, Some(shard));
        local.plus(remote.unwrap_or_default())
    }

    /// Returns the load of a pool in the own data centre, without the shard `except`.
    pub(super) fn local_load(&self, pool: &PoolName, except: Option<&ShardId>) -> PoolLoad {
        let catalogue = self.inputs.catalogue.borrow();
        let members = self.inputs.members.borrow();
        let now = self.inputs.clock.now();
        let shards = catalogue.shards_of(pool, &self.settings.data_centre);
        shards
            .iter()
            .filter(|shard| Some(&shard.id) != except)
            .map(|shard| match self.shards.get(&shard.id) {
                Some(owned) if owned.phase == OwnerPhase::Active => owned.owner.load(now),
                _ => members.load_of(std::iter::once(shard)),
            })
            .fold(PoolLoad::default(), PoolLoad::plus)
    }

    /// Chooses an upstream now and counts the request there.
    pub(super) fn place(
        &mut self,
        id: &ShardId,
        request: &PlaceRequest,
        ctx: &Context<Self>,
    ) -> Result<PlaceReply, PlaceRefusal> {
        let now = self.inputs.clock.now();
        let others = self.load_of_others(id);
        let random = self.rng.next_u64();
        let owned = self.shards.get_mut(id).ok_or(PlaceRefusal::NoUpstream)?;
        let bound = owned.owner.bound(others, now);
        let name = owned.place(&mut self.policy, request, others, random, now)?;
        let load = owned
            .owner
            .load_mut(&name)
            .ok_or(PlaceRefusal::NoUpstream)?;
        let upstream = Arc::clone(&load.entry);
        let (total, serving) = (load.total(), load.is_serving());
        let bounded = self.settings.policy != PolicyKind::Affinity || total <= bound;
        self.inputs
            .invariants
            .check(Invariant::BoundedLoad, bounded, || {
                format!("upstream {name} has {total} requests, its bound is {bound}")
            });
        self.inputs
            .invariants
            .check(Invariant::NoWorkAfterDrain, serving, || {
                format!("upstream {name} is leaving")
            });
        let permit = PlacePermit::new(ctx.mailbox().address(), id.clone(), name);
        Ok(PlaceReply { permit, upstream })
    }

    fn serve_queues(&mut self, now: MonotonicInstant, ctx: &Context<Self>) {
        let ids: Vec<ShardId> = self
            .shards
            .iter_mut()
            .filter(|(_, owned)| owned.phase == OwnerPhase::Active)
            .map(|(id, owned)| {
                owned.expire(now);
                (id, owned)
            })
            .filter(|(_, owned)| !owned.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.serve_queue(&id, now, ctx);
        }
    }

    pub(super) fn serve_queue(&mut self, id: &ShardId, now: MonotonicInstant, ctx: &Context<Self>) {
        loop {
            let others = self.load_of_others(id);
            let Some(owned) = self.shards.get_mut(id) else {
                return;
            };
            if !owned.owner.has_room(others, now) {
                return;
            }
            let Some(item) = owned.queue.pop(now) else {
                return;
            };
            self.serve_item(id, item, ctx);
        }
    }

    fn serve_item(&mut self, id: &ShardId, item: WorkItem<WaitingWork>, ctx: &Context<Self>) {
        let WaitingWork { reply, request } = item.payload;
        if reply.is_closed() {
            return;
        }
        let result = self.place(id, &request, ctx).map_err(refusal);
        send_reply(reply, result);
    }
}

/// Converts the reason why no upstream was chosen to a refusal for the entry daemon.
pub(super) fn refusal(refusal: PlaceRefusal) -> RelayRefusal {
    RelayRefusal::not_run(match refusal {
        PlaceRefusal::Full => RefusalReason::Full,
        PlaceRefusal::NoUpstream => RefusalReason::NoUpstream,
    })
}

impl Actor for ShardActor {
    type Stop = ();

    async fn stopped(self) {}
}
