//! Run-time control of a relay.

use {
    super::{LinkFaults, relay_message::RelayMessage},
    std::net::SocketAddr,
    tokio::sync::{mpsc, oneshot},
};

/// Run-time control of a relay; each method returns once its change is in force.
///
/// Nothing happens when the relay is closed.
#[derive(Clone, Debug)]
pub struct RelayControl {
    messages: mpsc::Sender<RelayMessage>,
}

impl RelayControl {
    pub(super) fn new(messages: mpsc::Sender<RelayMessage>) -> Self {
        Self { messages }
    }

    /// Resets the connection that the upstream knows by `local`.
    pub async fn reset(&self, local: SocketAddr) {
        self.ask(|done| RelayMessage::Reset { done, local }).await;
    }

    /// Replaces the link's faults.
    pub async fn set_faults(&self, faults: LinkFaults) {
        self.ask(|done| RelayMessage::SetFaults { done, faults })
            .await;
    }

    /// Silences the connections open now for good; new ones work.
    pub async fn silence(&self) {
        self.ask(|done| RelayMessage::Silence { done, except: None })
            .await;
    }

    /// Silences the connections open now, except the one that the upstream knows by `local`.
    pub async fn silence_except(&self, local: SocketAddr) {
        let except = Some(local);
        self.ask(|done| RelayMessage::Silence { done, except })
            .await;
    }

    pub(super) async fn close(&self) {
        // A relay that is gone is closed.
        let _ = self.messages.send(RelayMessage::Close).await;
    }

    async fn ask(&self, message: impl FnOnce(oneshot::Sender<()>) -> RelayMessage) {
        let (done, answer) = oneshot::channel();
        if self.messages.send(message(done)).await.is_ok() {
            // A relay that closes before it answers has no connections left.
            let _ = answer.await;
        }
    }
}
