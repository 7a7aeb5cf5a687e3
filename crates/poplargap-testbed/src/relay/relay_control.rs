//! Handle by which a relay is controlled at run time.

use {
    super::{LinkFaults, relay_message::RelayMessage},
    std::net::SocketAddr,
    tokio::sync::{mpsc, oneshot},
};

/// Handle to a running relay; each method returns once its change is in force.
///
/// The methods have no effect after the relay has been closed.
#[derive(Clone, Debug)]
pub struct RelayControl {
    messages: mpsc::Sender<RelayMessage>,
}

impl RelayControl {
    pub(super) fn new(messages: mpsc::Sender<RelayMessage>) -> Self {
        Self { messages }
    }

    /// Resets the connection that reaches the upstream from `local`; has no effect on UDP relays.
    pub async fn reset(&self, local: SocketAddr) {
        self.send_and_wait(|done| RelayMessage::Reset { done, local })
            .await;
    }

    /// Replaces the link's faults.
    pub async fn set_faults(&self, faults: LinkFaults) {
        self.send_and_wait(|done| RelayMessage::SetFaults { done, faults })
            .await;
    }

    /// Permanently silences the connections that are open; new ones work.
    pub async fn silence(&self) {
        self.send_and_wait(|done| RelayMessage::Silence { done, except: None })
            .await;
    }

    /// Permanently silences the open connections, except the one that reaches the upstream from
    /// `local`; a UDP relay makes no exception.
    pub async fn silence_except(&self, local: SocketAddr) {
        let except = Some(local);
        self.send_and_wait(|done| RelayMessage::Silence { done, except })
            .await;
    }

    pub(super) async fn close(&self) {
        // An error means that the relay has already ended.
        let _ = self.messages.send(RelayMessage::Close).await;
    }

    async fn send_and_wait(&self, message: impl FnOnce(oneshot::Sender<()>) -> RelayMessage) {
        let (done, done_rx) = oneshot::channel();
        if self.messages.send(message(done)).await.is_ok() {
            // An error means that the relay has ended, which closes its connections as well.
            let _ = done_rx.await;
        }
    }
}
