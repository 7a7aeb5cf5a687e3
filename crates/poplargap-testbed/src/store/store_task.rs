//! The task that owns the store.

use {
    super::{
        CallCounts, StoreFaults,
        change_history::HistoryGone,
        store_message::{ReplySender, StoreMessage},
        store_state::StoreState,
        vm_history::VmHistory,
    },
    poplargap_platform::store_wire::WatchQuery,
    poplargap_store::WatchBatch,
    std::{future::pending, time::Duration},
    tokio::{
        sync::mpsc::Receiver,
        time::{Instant, sleep_until},
    },
};

/// Upper bound of the wait that a watch's query asks for.
const WATCH_WAIT_MAX: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct WaitingWatch {
    after: u64,
    ends_at: Instant,
    prefix: String,
    reply: ReplySender<Result<WatchBatch, HistoryGone>>,
}

/// Task that owns the store's content, faults, counters and waiting watches.
#[derive(Debug, Default)]
pub(super) struct StoreTask {
    counts: CallCounts,
    faults: StoreFaults,
    state: StoreState,
    vms: VmHistory,
    watches: Vec<WaitingWatch>,
}

impl StoreTask {
    /// Handles messages until all senders are dropped.
    pub(super) async fn run(mut self, mut messages: Receiver<StoreMessage>) {
        loop {
            let timer = wait_until(self.next_event());
            let message = tokio::select! {
                biased;
                () = timer => None,
                message = messages.recv() => match message {
                    None => return,
                    message => message,
                },
            };
            self.state.expire_leases(Instant::now());
            if let Some(message) = message {
                self.handle(message);
            }
            self.answer_watches(Instant::now());
        }
    }

    fn next_event(&self) -> Option<Instant> {
        self.watches
            .iter()
            .map(|watch| watch.ends_at)
            .chain(self.state.next_lease_expiry())
            .min()
    }

    /// Handles a message; it takes effect even when its caller has disconnected.
    fn handle(&mut self, message: StoreMessage) {
        let now = Instant::now();
        match message {
            StoreMessage::Begin(kind, reply) => {
                self.counts.add(kind);
                answer(reply, self.faults.apply_to(kind));
            }
            StoreMessage::Compact(reply) => {
                self.state.compact();
                answer(reply, ());
            }
            StoreMessage::Counts(reply) => answer(reply, self.counts()),
            StoreMessage::Era(reply) => answer(reply, self.state.revision().era()),
            StoreMessage::Faults(reply) => answer(reply, self.faults),
            StoreMessage::Get(key, reply) => answer(reply, self.state.get(&key)),
            StoreMessage::GrantLease(ttl, reply) => {
                answer(reply, self.state.grant_lease(ttl, now));
            }
            StoreMessage::List(query, reply) => answer(reply, self.state.list(&query)),
            StoreMessage::PutVms(vms, reply) => {
                self.vms.put(vms, now);
                answer(reply, ());
            }
            StoreMessage::RenewLease(id, reply) => answer(reply, self.state.renew_lease(id, now)),
            StoreMessage::Restore(plan, reply) => answer(reply, self.state.restore(plan)),
            StoreMessage::RevokeLease(id, reply) => answer(reply, self.state.revoke_lease(id)),
            StoreMessage::SetFaults(faults, reply) => {
                self.faults = faults;
                answer(reply, ());
            }
            StoreMessage::Swap(write, reply) => answer(reply, self.state.swap(&write)),
            StoreMessage::TakeCopy(reply) => {
                self.state.take_copy();
                answer(reply, ());
            }
            StoreMessage::Vms(reply) => answer(reply, self.vms.shown(self.faults.lag(), now)),
            StoreMessage::Watch(query, reply) => self.add_watch(query, reply, now),
        }
    }

    fn add_watch(
        &mut self,
        query: WatchQuery,
        reply: ReplySender<Result<WatchBatch, HistoryGone>>,
        now: Instant,
    ) {
        let wait = Duration::from_millis(query.wait_ms).min(WATCH_WAIT_MAX);
        self.watches.push(WaitingWatch {
            after: query.after,
            ends_at: now + wait,
            prefix: query.prefix,
            reply,
        });
    }

    /// Answers the watches that have a change or whose wait has ended.
    fn answer_watches(&mut self, now: Instant) {
        for mut watch in std::mem::take(&mut self.watches) {
            let changes = self.state.changes(&watch.prefix, watch.after);
            match changes {
                Ok(batch) if batch.changes.is_empty() && watch.ends_at > now => {
                    watch.after = batch.revision.number();
                    self.watches.push(watch);
                }
                changes => answer(watch.reply, changes),
            }
        }
        self.watches.retain(|watch| !watch.reply.is_closed());
    }

    fn counts(&self) -> CallCounts {
        let open = self.watches.iter().filter(|watch| !watch.reply.is_closed());
        CallCounts {
            waiting_watches: open.count() as u64,
            ..self.counts
        }
    }
}

fn answer<T>(reply: ReplySender<T>, answer: T) {
    // The send fails when the caller has disconnected.
    let _ = reply.send(answer);
}

async fn wait_until(event_at: Option<Instant>) {
    match event_at {
        Some(event_at) => sleep_until(event_at).await,
        None => pending().await,
    }
}
