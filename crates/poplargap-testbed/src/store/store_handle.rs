//! Handle to the task that owns the store.

use {
    super::store_message::{ReplySender, StoreMessage},
    tokio::sync::{mpsc, oneshot},
};

/// Handle that sends messages to the task that owns the store.
#[derive(Clone, Debug)]
pub(super) struct StoreHandle {
    messages: mpsc::Sender<StoreMessage>,
}

impl StoreHandle {
    pub(super) fn new(messages: mpsc::Sender<StoreMessage>) -> Self {
        Self { messages }
    }

    /// Sends a message and waits for the reply; `None` when the task has ended.
    pub(super) async fn ask<T>(
        &self,
        message: impl FnOnce(ReplySender<T>) -> StoreMessage,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(message(reply)).await.ok()?;
        answer.await.ok()
    }
}
