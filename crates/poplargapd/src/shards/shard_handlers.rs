//! Message handlers of the shard actor.

use {
    super::{
        AttemptResult, ShardActor,
        messages::{PlaceWork, ProbedLoads, RefreshShards, ReleaseWork},
        owned_shard::{OwnerPhase, send_reply},
        shard_actor::refusal,
    },
    poplargap_core::owner::PlaceRefusal,
    poplargap_link::envelope::{RefusalReason, RelayRefusal},
    xtra::prelude::{Context, Handler},
};

impl Handler<RefreshShards> for ShardActor {
    type Return = ();

    async fn handle(&mut self, _message: RefreshShards, ctx: &mut Context<Self>) {
        self.refresh(ctx);
    }
}

impl Handler<PlaceWork> for ShardActor {
    type Return = ();

    async fn handle(&mut self, message: PlaceWork, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        if now.since(self.refreshed) > self.settings.suspect {
            self.refresh(ctx);
        }
        let phase = self.shards.get(&message.shard).map(|owned| owned.phase);
        let Some(phase) = phase.filter(|phase| *phase != OwnerPhase::Former) else {
            let members = self.inputs.members.borrow();
            let mut refusal = RelayRefusal::not_run(RefusalReason::Moved);
            refusal.owner = members.owner_of(&message.shard).map(|member| member.relay);
            send_reply(message.reply, Err(refusal));
            return;
        };
        let queued = self
            .shards
            .get(&message.shard)
            .is_some_and(|owned| !owned.queue.is_empty());
        if phase == OwnerPhase::Active && !queued {
            match self.place(&message.shard, &message.request, ctx) {
                Ok(reply) => return send_reply(message.reply, Ok(reply)),
                Err(PlaceRefusal::Full) if message.wait => {}
                Err(error) => return send_reply(message.reply, Err(refusal(error))),
            }
        } else if !message.wait && phase == OwnerPhase::Active {
            return send_reply(message.reply, Err(refusal(PlaceRefusal::Full)));
        }
        if let Some(owned) = self.shards.get_mut(&message.shard) {
            owned.enqueue(message, now);
        }
    }
}

impl Handler<ReleaseWork> for ShardActor {
    type Return = ();

    async fn handle(&mut self, message: ReleaseWork, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let Some(owned) = self.shards.get_mut(&message.shard) else {
            return;
        };
        owned.owner.release(&message.upstream);
        if let Some(load) = owned.owner.load_mut(&message.upstream) {
            match message.result {
                AttemptResult::Abandoned => {}
                AttemptResult::Answered => load.health.record_success(),
                AttemptResult::Failed | AttemptResult::Refused => load.health.record_failure(now),
            }
        }
        if owned.phase == OwnerPhase::Active && !owned.queue.is_empty() {
            owned.expire(now);
            self.serve_queue(&message.shard, now, ctx);
        }
    }
}

impl Handler<ProbedLoads> for ShardActor {
    type Return = ();

    async fn handle(&mut self, message: ProbedLoads, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let Some(owned) = self.shards.get_mut(&message.shard) else {
            return;
        };
        if owned.owner.epoch() != message.epoch {
            return;
        }
        match owned.phase {
            OwnerPhase::Former => return,
            OwnerPhase::Active => owned.owner.update_reported(&message.loads),
            OwnerPhase::TakingOver => owned.owner.inherit_loads(&message.loads),
        }
        owned.phase = OwnerPhase::Active;
        self.serve_queue(&message.shard, now, ctx);
    }
}
