//! State shared by the request handlers of one engine.

use {
    super::{
        AnswerScript, ChatRequest, PromptChain,
        chat_headers::ChatHeaders,
        engine_task::{EngineMessage, EngineTaskError},
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

/// Handle to one engine's task and active faults.
#[derive(Clone, Debug)]
pub(super) struct EngineContext {
    block_tokens: NonZeroUsize,
    faults: watch::Receiver<FaultSettings>,
    messages: mpsc::UnboundedSender<EngineMessage>,
    next_number: Arc<AtomicU64>,
}

/// Cancels a run when its request handler or response stream is dropped.
#[derive(Debug)]
pub(super) struct CancelGuard {
    messages: mpsc::UnboundedSender<EngineMessage>,
    number: RunNumber,
}

/// A submitted request, from the side of its handler.
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

    /// Sends the task the message that `build` creates for a reply channel, and waits for the reply.
    pub(super) async fn ask<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> EngineMessage,
    ) -> Result<T, EngineTaskError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        // If sending fails, the reply sender is dropped with the message and `reply_rx` fails.
        let _sent = self.messages.send(build(reply_tx));
        reply_rx.await.map_err(|_closed| EngineTaskError::Closed)
    }

    /// Returns the active faults.
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
        // If sending fails, the event sender is dropped with the request and `events` ends.
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
    /// Cancels the run; does nothing if it has ended.
    pub(super) fn cancel(&self) {
        let number = self.number;
        // Sending fails only after the task has ended, when nothing is running any more.
        let _sent = self.messages.send(EngineMessage::Cancel { number });
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.cancel();
    }
}
