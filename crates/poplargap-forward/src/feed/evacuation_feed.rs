use {
    super::{
        FeedContext,
        feed_read::{FeedListing, FeedUpdate},
    },
    crate::FeedDialect,
    poplargap_core::{
        forward::{EvacuationChange, EvacuationView, ReplicaView},
        instant::MonotonicInstant,
    },
    slog::info,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Time for operators to write again what a copy of the store lacks, or to remove again what it still
/// has.
const REWRITE_GRACE: Duration = Duration::from_millis(2_200);

/// Keeps the view of the evacuated data centres up to date.
///
/// When the store comes back from a copy, what is in force stays in force until operators have had
/// time to write it again.
#[derive(Debug)]
pub(super) struct EvacuationFeed<F, S> {
    context: FeedContext<F, S>,
    /// Time in which an evacuation must take effect.
    limit: Duration,
    replicas: watch::Receiver<Arc<ReplicaView>>,
    /// When the content of the store is taken over after it came back from a copy.
    settles_at: Option<MonotonicInstant>,
    /// The data centres whose evacuation is in the store.
    stored: BTreeSet<String>,
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
            settles_at: None,
            stored: BTreeSet::new(),
            view,
        }
    }

    /// Applies the evacuations in an update.
    pub(super) fn apply(&mut self, update: &FeedUpdate) {
        let prefix = self.context.dialect.evacuations_prefix();
        let now = self.context.clock.now();
        let mut view = EvacuationView::clone(&self.view.borrow());
        let mut moves = Vec::new();
        match update {
            FeedUpdate::Changes(_) | FeedUpdate::Evidence(_) | FeedUpdate::Value(_) => {
                for change in update.changes() {
                    let Some(centre) = change.key.strip_prefix(prefix) else {
                        continue;
                    };
                    if change.value.is_some() {
                        self.stored.insert(centre.to_owned());
                        if view.begin(centre, now, self.limit) {
                            moves.push((Arc::from(centre), EvacuationChange::Begun));
                        }
                    } else {
                        self.stored.remove(centre);
                        if view.end(centre, now) {
                            moves.push((Arc::from(centre), EvacuationChange::Ended));
                        }
                    }
                }
            }
            FeedUpdate::Listing(FeedListing {
                era_change, values, ..
            }) => {
                let keys = values.iter();
                let centres = keys.filter_map(|value| value.key.strip_prefix(prefix));
                self.stored = centres.map(str::to_owned).collect();
                if era_change.is_some() {
                    self.settles_at = Some(now + REWRITE_GRACE);
                } else if self.settles_at.is_none() {
                    moves = view.replace(&self.centres(), now);
                }
            }
        }
        self.publish(view, moves);
    }

    /// Returns when the content of the store is taken over after it came back from a copy.
    pub(super) fn expiry(&self) -> Option<MonotonicInstant> {
        self.settles_at
    }

    /// Takes over the content of the store if operators have had time to write it again.
    pub(super) fn expire(&mut self) {
        let now = self.context.clock.now();
        if self.settles_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        let mut view = EvacuationView::clone(&self.view.borrow());
        let moves = view.replace(&self.centres(), now);
        self.publish(view, moves);
    }

    fn centres(&self) -> Vec<&str> {
        self.stored.iter().map(String::as_str).collect()
    }

    fn publish(&self, view: EvacuationView, moves: Vec<(Arc<str>, EvacuationChange)>) {
        let now = self.context.clock.now();
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
