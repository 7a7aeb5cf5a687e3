//! The task that owns an engine's state.

use {
    super::{
        CacheEvents, EngineSettings, LedgerRecord, LoadRecord, OrderRecord, PeakRecord,
        batch_state::BatchState,
        run_request::{RunNumber, RunRequest},
    },
    crate::fault::FaultSettings,
    displaydoc::Display,
    poplargap_core::order::EngineOrder,
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Instant, sleep_until},
    },
};

/// Reason why an engine's task didn't reply.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EngineTaskError {
    /// the engine is closed
    Closed,
}

impl std::error::Error for EngineTaskError {}

/// A message to the engine's task.
#[derive(Debug)]
pub(super) enum EngineMessage {
    CacheEvents {
        after: u64,
        reply: oneshot::Sender<CacheEvents>,
    },
    Cancel {
        number: RunNumber,
    },
    CancelById {
        reply: oneshot::Sender<bool>,
        request_id: String,
    },
    Drain {
        draining: bool,
        reply: oneshot::Sender<()>,
    },
    Ledger {
        reply: oneshot::Sender<LedgerRecord>,
    },
    Load {
        reply: oneshot::Sender<LoadRecord>,
    },
    Order {
        order: EngineOrder,
        reply: oneshot::Sender<OrderRecord>,
    },
    Peak {
        reply: oneshot::Sender<PeakRecord>,
        reset: bool,
    },
    Submit {
        request: RunRequest,
    },
}

/// Runs decode steps and processes messages until all message senders have been dropped.
pub(super) async fn run(
    settings: EngineSettings,
    faults: watch::Receiver<FaultSettings>,
    mut messages: mpsc::UnboundedReceiver<EngineMessage>,
) {
    let mut state = BatchState::new(settings, Instant::now());
    loop {
        let next_step = state.next_step();
        let step = async {
            match next_step {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                handle(&mut state, message, faults.borrow().gap);
            }
            () = step => state.step(faults.borrow().gap, Instant::now()),
        }
    }
}

fn handle(state: &mut BatchState, message: EngineMessage, lose_events: bool) {
    let now = Instant::now();
    match message {
        EngineMessage::CacheEvents { after, reply } => {
            let _sent = reply.send(state.cache_log.after(after, now));
        }
        EngineMessage::Cancel { number } => state.cancel(number, lose_events, now),
        EngineMessage::CancelById { reply, request_id } => {
            let _sent = reply.send(state.cancel_by_id(&request_id, lose_events, now));
        }
        EngineMessage::Drain { draining, reply } => {
            state.draining = draining;
            let _sent = reply.send(());
        }
        EngineMessage::Ledger { reply } => {
            let _sent = reply.send(state.ledger());
        }
        EngineMessage::Load { reply } => {
            let _sent = reply.send(state.reported_load(now));
        }
        EngineMessage::Order { order, reply } => {
            let _sent = reply.send(state.orders.push(order));
        }
        EngineMessage::Peak { reply, reset } => {
            let _sent = reply.send(state.peak(reset));
        }
        EngineMessage::Submit { request } => state.submit(request, now),
    }
}
