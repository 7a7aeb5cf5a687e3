//! What the request handlers of one engine share.

use {
    super::{
        AnswerScript, ChatRequest, PromptChain,
        chat_headers::ChatHeaders,
        engine_task::{EngineGone, EngineMessage},
        run_request::{RunEvent, RunNumber, RunRequest},
    },
    crate::fault::FaultSettings,
    std::{
        num::NonZeroUsize,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::Instant,
    },
};

/// Access to one engine's task and faults.
#[derive(Clone, Debug)]
pub(super) struct EngineContext {
    block_tokens: NonZeroUsize,
    faults: watch::Receiver<FaultSettings>,
    messages: mpsc::UnboundedSender<EngineMessage>,
    next_number: Arc<AtomicU64>,
}

/// Cancels a run when its handler or its answer's stream is dropped.
#[derive(Debug)]
pub(super) struct CancelGuard {
    messages: mpsc::UnboundedSender<EngineMessage>,
    number: RunNumber,
}

/// A submitted request as its handler sees it.
#[derive(Debug)]
pub(super) struct SubmittedRun {
    pub(super) events: mpsc::UnboundedReceiver<RunEvent>,
    pub(super) guard: CancelGuard,
    pub(super) request_id: String,
    pub(super) script: AnswerScript,
}

impl EngineContext {
    pub(super) fn new(
        block_tokens: NonZeroUsize,
        faults: watch::Receiver<FaultSettings>,
        messages: mpsc::UnboundedSender<EngineMessage>,
    ) -> Self {
        Self {
            block_tokens,
            faults,
            messages,
            next_number: Arc::default(),
        }
    }

    /// Sends the message that `build` makes of a reply sender, and waits for the reply.
    pub(super) async fn ask<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> EngineMessage,
    ) -> Result<T, EngineGone> {
        let (reply_tx, reply_rx) = oneshot::channel();
        // A message that can't be sent drops the reply's sender.
        let _sent = self.messages.send(build(reply_tx));
        reply_rx.await.map_err(|_closed| EngineGone::Closed)
    }

    /// Returns the faults that are on.
    pub(super) fn faults(&self) -> FaultSettings {
        *self.faults.borrow()
    }

    /// Submits a request to the engine's task.
    pub(super) fn submit(&self, headers: ChatHeaders, request: &ChatRequest) -> SubmittedRun {
        let script = AnswerScript::of_request(request);
        let number = RunNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (event_tx, events) = mpsc::unbounded_channel();
        let request_id = headers.request_id.clone();
        let request = RunRequest {
            chain: PromptChain::of_request(request, &script, self.block_tokens),
            chat_id: headers.chat_id,
            deadline: headers.deadline.map(|deadline| Instant::now() + deadline),
            events: event_tx,
            from_index: headers.from_index,
            number,
            priority: headers.priority,
            request_id: headers.request_id,
            script,
        };
        // A request that can't be sent drops the events' sender.
        let _sent = self.messages.send(EngineMessage::Submit { request });
        SubmittedRun {
            events,
            guard: CancelGuard {
                messages: self.messages.clone(),
                number,
            },
            request_id,
            script,
        }
    }
}

impl CancelGuard {
    /// Cancels the run, unless it is over.
    pub(super) fn cancel(&self) {
        let number = self.number;
        // Without a task there is nothing to cancel.
        let _sent = self.messages.send(EngineMessage::Cancel { number });
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.cancel();
    }
}
