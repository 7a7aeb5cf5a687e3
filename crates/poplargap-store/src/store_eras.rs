use {
    poplargap_core::store_position::StoreEra,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::watch,
};

/// The newest era in which the store answered, shared by all clients of it in a process.
#[derive(Clone, Debug)]
pub struct StoreEras {
    changes: Arc<AtomicU64>,
    newest: Arc<watch::Sender<Option<StoreEra>>>,
}

impl Default for StoreEras {
    fn default() -> Self {
        Self {
            changes: Arc::default(),
            newest: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl StoreEras {
    /// Records the era of an answer; an answer without one says nothing of it.
    ///
    /// Returns the era of the answer. It is lower than [`StoreEras::current`] if the answer is late.
    #[must_use]
    pub fn observe(&self, stated: Option<StoreEra>) -> StoreEra {
        let mut era = StoreEra::default();
        self.newest.send_if_modified(|newest| {
            let before = *newest;
            era = stated.or(before).unwrap_or_default();
            *newest = before.max(Some(era));
            let has_changed = before.is_some_and(|before| before < era);
            if has_changed {
                self.changes.fetch_add(1, Ordering::Relaxed);
            }
            has_changed
        });
        era
    }

    /// Returns the newest era; the first one before any answer.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        self.newest.borrow().unwrap_or_default()
    }

    /// Returns how often the era changed after the first answer.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Returns a watch of further changes of the era.
    #[must_use]
    pub fn watch(&self) -> EraWatch {
        EraWatch(self.newest.subscribe())
    }
}

/// Waits for changes of the era.
#[derive(Debug)]
pub struct EraWatch(watch::Receiver<Option<StoreEra>>);

impl EraWatch {
    /// Waits for the next change since the watch was created or last returned one.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            // Nothing observes eras any more.
            std::future::pending::<()>().await;
        }
    }
}
