//! What the shard actor does with each message.

use {
    super::{
        AttemptResult, ShardActor,
        homed_shard::{HomePhase, answer},
        messages::{PlaceWork, RefreshShards, ReleaseWork, TakeoverLoads},
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
        let phase = self.shards.get(&message.shard).map(|homed| homed.phase);
        let Some(phase) = phase.filter(|phase| *phase != HomePhase::Former) else {
            let members = self.inputs.members.borrow();
            let mut refusal = RelayRefusal::not_run(RefusalReason::Moved);
            refusal.home = members.owner_of(&message.shard).map(|member| member.relay);
            answer(message.reply, Err(refusal));
            return;
        };
        let queued = self
            .shards
            .get(&message.shard)
            .is_some_and(|homed| !homed.queue.is_empty());
        if phase == HomePhase::Home && !queued {
            match self.place(&message.shard, &message.request, ctx) {
                Ok(reply) => return answer(message.reply, Ok(reply)),
                Err(PlaceRefusal::Full) if message.wait => {}
                Err(error) => return answer(message.reply, Err(refusal(error))),
            }
        } else if !message.wait && phase == HomePhase::Home {
            return answer(message.reply, Err(refusal(PlaceRefusal::Full)));
        }
        if let Some(homed) = self.shards.get_mut(&message.shard) {
            homed.wait(message, now);
        }
    }
}

impl Handler<ReleaseWork> for ShardActor {
    type Return = ();

    async fn handle(&mut self, message: ReleaseWork, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let Some(homed) = self.shards.get_mut(&message.shard) else {
            return;
        };
        homed.home.release(&message.upstream);
        if let Some(load) = homed.home.load_mut(&message.upstream) {
            match message.result {
                AttemptResult::Abandoned => {}
                AttemptResult::Answered => load.health.record_success(),
                AttemptResult::Failed | AttemptResult::Refused => load.health.record_failure(now),
            }
        }
        if homed.phase == HomePhase::Home && !homed.queue.is_empty() {
            homed.expire(now);
            self.serve_queue(&message.shard, now, ctx);
        }
    }
}

impl Handler<TakeoverLoads> for ShardActor {
    type Return = ();

    async fn handle(&mut self, message: TakeoverLoads, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let Some(homed) = self.shards.get_mut(&message.shard) else {
            return;
        };
        if homed.home.epoch() != message.epoch {
            return;
        }
        match homed.phase {
            HomePhase::Former => return,
            HomePhase::Home => homed.home.update_reported(&message.loads),
            HomePhase::TakingOver => homed.home.inherit_loads(&message.loads),
        }
        homed.phase = HomePhase::Home;
        self.serve_queue(&message.shard, now, ctx);
    }
}
