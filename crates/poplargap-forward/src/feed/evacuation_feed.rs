use {
    super::{FeedContext, store_follower::FeedUpdate},
    crate::FeedDialect,
    poplargap_core::forward::{EvacuationChange, EvacuationView, ReplicaView},
    slog::info,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Keeps the view of the evacuated data centres up to date.
#[derive(Debug)]
pub(super) struct EvacuationFeed<F, S> {
    context: FeedContext<F, S>,
    /// Time in which an evacuation must take effect.
    limit: Duration,
    replicas: watch::Receiver<Arc<ReplicaView>>,
    view: watch::Sender<Arc<EvacuationView>>,
}

impl<F: FeedDialect, S> EvacuationFeed<F, S> {
    pub(super) fn new(
        context: FeedContext<F, S>,
        limit: Duration,
        replicas: watch::Receiver<Arc<ReplicaView>>,
        view: watch::Sender<Arc<EvacuationView>>,
    ) -> Self {
        Self {
            context,
            limit,
            replicas,
            view,
        }
    }

    /// Applies the evacuations in an update.
    pub(super) fn apply(&self, update: &FeedUpdate) {
        let prefix = self.context.dialect.evacuations_prefix();
        let now = self.context.clock.now();
        let mut view = EvacuationView::clone(&self.view.borrow());
        let mut moves = Vec::new();
        match update {
            FeedUpdate::Changes(changes) => {
                for change in changes {
                    let Some(centre) = change.key.strip_prefix(prefix) else {
                        continue;
                    };
                    if change.value.is_some() && view.begin(centre, now, self.limit) {
                        moves.push((Arc::from(centre), EvacuationChange::Begun));
                    } else if change.value.is_none() && view.end(centre, now) {
                        moves.push((Arc::from(centre), EvacuationChange::Ended));
                    }
                }
            }
            FeedUpdate::Listing(values) => {
                let keys = values.iter();
                let centres: Vec<&str> = keys
                    .filter_map(|value| value.key.strip_prefix(prefix))
                    .collect();
                moves = view.replace(&centres, now);
            }
        }
        if moves.is_empty() {
            return;
        }
        self.context
            .metrics
            .set_evacuated(view.evacuated(now).count());
        self.view.send_replace(Arc::new(view));
        for (centre, change) in moves {
            let change: &'static str = change.into();
            let replicas = self.replicas.borrow().count_in(&centre);
            info!(self.context.log, "evacuation of a data centre changed";
                "data-centre" => centre.as_ref(), "change" => change, "replicas" => replicas,
                "moves-within-ms" => crate::call_log::millis(self.limit));
        }
    }
}
