//! Bounds the interim responses (1xx) that a replica sends before its reply.

use {
    hyper::{Request, ext::on_informational},
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::sync::Notify,
};

/// Most interim responses to one request.
const INTERIM_MAX: u32 = 16;

/// Counts the interim responses to one request.
#[derive(Debug)]
pub(crate) struct InterimReplies {
    exceeded: Arc<Notify>,
}

impl InterimReplies {
    /// Counts the interim responses to `request`, which must be sent afterwards.
    pub(crate) fn watch<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let count = AtomicU32::new(0);
        let notify = Arc::clone(&exceeded);
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= INTERIM_MAX {
                notify.notify_one();
            }
        });
        Self { exceeded }
    }

    /// Waits until there are too many interim responses.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
