//! Open-loop load of a soak.

use {
    super::{CallWork, SoakCall, load_context::LoadContext},
    crate::caller::{ChatSession, ChatTurn, ServiceCall, ServiceOutcome},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        task::JoinSet,
        time::{self, Instant},
    },
    warp::http::Method,
};

const BOOKING_SHARE: f64 = 0.18;
const CALLS_MAX: usize = 4_000;
const IDLE_CHATS_MAX: usize = 400;
const LOOKUP_SHARE: f64 = 0.22;
const RATE_PER_SECOND: f64 = 50.0;
const RESEND_SHARE: f64 = 0.4;
const RESEND_WAIT_MAX_MS: u64 = 4_000;
const CONTINUE_SHARE: f64 = 0.6;
const STREAM: u64 = 2;
const SURGE_FACTOR: f64 = 4.0;

/// A chat that is waiting for its next turn.
#[derive(Debug)]
struct IdleChat {
    session: ChatSession,
    workspace: usize,
}

/// Sends calls at times drawn from the seed, without waiting for the answers to earlier calls.
#[derive(Debug)]
pub(super) struct LoadGenerator {
    context: LoadContext,
    idle: Vec<IdleChat>,
    number: u64,
    rng: ChaCha8Rng,
    tasks: JoinSet<()>,
}

impl LoadGenerator {
    pub(super) fn new(context: LoadContext, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        Self {
            context,
            idle: Vec::new(),
            number: 0,
            rng,
            tasks: JoinSet::new(),
        }
    }

    /// Sends calls for `duration`, then waits until all are answered.
    pub(super) async fn run(mut self, duration: Duration) {
        let (idle_sender, mut idle_receiver) = mpsc::unbounded_channel();
        let end = Instant::now() + duration;
        let mut at = Instant::now();
        while at < end {
            let surge = *self.context.surge.borrow();
            let rate = RATE_PER_SECOND * surge.map_or(1.0, |_| SURGE_FACTOR);
            let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(pause);
            time::sleep_until(at).await;
            while let Ok(chat) = idle_receiver.try_recv() {
                self.idle.push(chat);
            }
            while self.tasks.try_join_next().is_some() {}
            if self.tasks.len() < CALLS_MAX {
                self.send(surge, &idle_sender);
            }
        }
        while self.tasks.join_next().await.is_some() {}
    }

    fn send(&mut self, surge: Option<usize>, idle_sender: &mpsc::UnboundedSender<IdleChat>) {
        self.number += 1;
        let surging = surge.filter(|_| self.rng.random_bool(1.0 - 1.0 / SURGE_FACTOR));
        let workspace = surging.unwrap_or_else(|| self.draw_workspace());
        let point: f64 = self.rng.random();
        if point < BOOKING_SHARE {
            self.send_booking(workspace);
        } else if point < BOOKING_SHARE + LOOKUP_SHARE {
            self.send_lookup(workspace);
        } else {
            self.send_chat(workspace, surging.is_some(), idle_sender.clone());
        }
    }

    /// Draws the number of a workspace; the first two get most of the load.
    fn draw_workspace(&mut self) -> usize {
        let count = self.context.clients.len();
        if self.rng.random_bool(0.6) {
            self.rng.random_range(0..count.min(2))
        } else {
            self.rng.random_range(0..count)
        }
    }

    fn send_chat(
        &mut self,
        workspace: usize,
        fresh: bool,
        idle_sender: mpsc::UnboundedSender<IdleChat>,
    ) {
        let continues = !fresh && !self.idle.is_empty() && self.rng.random_bool(CONTINUE_SHARE);
        let mut chat = if continues || self.idle.len() > IDLE_CHATS_MAX {
            let index = self.rng.random_range(0..self.idle.len());
            self.idle.swap_remove(index)
        } else {
            let session = ChatSession::new(format!("chat-{}", self.number), "curve");
            IdleChat { session, workspace }
        };
        let long = self.rng.random_bool(0.2);
        let name = workspace_name(chat.workspace);
        let class = if long { "reports" } else { "notes" };
        let stream = self.rng.random_bool(0.7);
        let turn = ChatTurn {
            class: Some(format!("{name}.{class}")),
            content: format!("trace {} of a matched pair of valves", self.number),
            deadline: None,
            max_tokens: self.rng.random_range(if long { 80..200 } else { 5..50 }),
            request_id: format!("c{}", self.number),
            stream,
        };
        let daemon = self.context.pick_daemon(&mut self.rng);
        let context = self.context.clone();
        self.tasks.spawn(async move {
            let began = context.now();
            let client = &context.clients[chat.workspace];
            let address = context.daemons[daemon];
            let outcome = client.chat(address, &mut chat.session, &turn).await;
            context.record(SoakCall {
                answer: None,
                began,
                daemon,
                ended: context.now(),
                gap: outcome.largest_gap(),
                request_id: outcome.request_id,
                verdict: outcome.verdict,
                work: CallWork::Chat { stream },
            });
            // The send fails only after the generator has stopped sending calls.
            let _sent = idle_sender.send(chat);
        });
    }

    fn send_lookup(&mut self, workspace: usize) {
        let call = self.call(workspace, "lookups", Method::GET, None);
        let daemon = self.context.pick_daemon(&mut self.rng);
        let context = self.context.clone();
        self.tasks.spawn(async move {
            send_call(&context, workspace, daemon, &call, CallWork::Lookup).await;
        });
    }

    fn send_booking(&mut self, workspace: usize) {
        let key = format!("key-{}", self.number);
        let first = self.call(workspace, "bookings", Method::POST, Some(key.clone()));
        let mut sends = vec![(Duration::ZERO, first.clone())];
        while self.rng.random_bool(RESEND_SHARE) && sends.len() < 4 {
            let mut again = first.clone();
            again.request_id = format!("{}-{}", first.request_id, sends.len());
            let late = self.rng.random_bool(0.5);
            let wait = if late {
                self.rng.random_range(0..RESEND_WAIT_MAX_MS)
            } else {
                self.rng.random_range(0..20)
            };
            sends.push((Duration::from_millis(wait), again));
        }
        for (wait, call) in sends {
            let context = self.context.clone();
            let mut rng = ChaCha8Rng::from_rng(&mut self.rng);
            let work = CallWork::Booking { key: key.clone() };
            self.tasks.spawn(async move {
                time::sleep(wait).await;
                let daemon = context.pick_daemon(&mut rng);
                send_call(&context, workspace, daemon, &call, work).await;
            });
        }
    }

    fn call(
        &self,
        workspace: usize,
        class: &str,
        method: Method,
        idempotency_key: Option<String>,
    ) -> ServiceCall {
        let name = workspace_name(workspace);
        ServiceCall {
            class: Some(format!("{name}.{class}")),
            idempotency_key,
            method,
            path: format!("{class}/{}", self.number),
            request_id: format!("s{}", self.number),
            service: "desk".to_owned(),
        }
    }
}

async fn send_call(
    context: &LoadContext,
    workspace: usize,
    daemon: usize,
    call: &ServiceCall,
    work: CallWork,
) {
    let began = context.now();
    let client = &context.clients[workspace];
    let outcome: ServiceOutcome = client.service(context.daemons[daemon], call).await;
    context.record(SoakCall {
        answer: outcome.answer,
        began,
        daemon,
        ended: context.now(),
        gap: None,
        request_id: outcome.request_id,
        verdict: outcome.verdict,
        work,
    });
}

/// Returns the name that the site's plan gives to the workspace with this number.
fn workspace_name(workspace: usize) -> String {
    format!("w{:02}", workspace + 1)
}
