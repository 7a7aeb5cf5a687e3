use {
    poplargap_store::{EraWatch, StoreEra, StoreEras},
    std::future::pending,
    tokio::sync::watch,
};

/// A change of the store's era between two listings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EraChange {
    pub(super) from: StoreEra,
    pub(super) to: StoreEra,
}

/// Decides when reads have to begin anew, since the store came back from a copy.
///
/// The era of the store's own answers counts. That of another daemon is a hint to ask the store.
#[derive(Debug)]
pub(super) struct EraGuard {
    eras: StoreEras,
    /// The last hint that was followed.
    followed: StoreEra,
    hints: Option<watch::Receiver<StoreEra>>,
    /// Era of the last listing.
    listed: Option<StoreEra>,
}

impl EraGuard {
    pub(super) fn new(eras: StoreEras, hints: Option<watch::Receiver<StoreEra>>) -> Self {
        Self {
            eras,
            followed: StoreEra::default(),
            hints,
            listed: None,
        }
    }

    /// Returns whether there was a listing.
    pub(super) fn has_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Returns the era of the last listing, or the first one before any.
    pub(super) fn listed(&self) -> StoreEra {
        self.listed.unwrap_or_default()
    }

    /// Records the era of a listing; returns the change if the last one was of another era.
    pub(super) fn record_listing(&mut self, era: StoreEra) -> Option<EraChange> {
        let from = self.listed.replace(era)?;
        (from != era).then_some(EraChange { from, to: era })
    }

    /// Returns whether what was listed is of an earlier era; a hint counts once.
    pub(super) fn is_past(&mut self) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let hinted = self.hints.as_ref().map(|hints| *hints.borrow());
        let hinted = hinted.unwrap_or_default();
        let is_hinted = hinted > listed && hinted > self.followed;
        self.followed = self.followed.max(hinted);
        is_hinted || listed != self.eras.current()
    }

    /// Returns a signal of the next change of the era, or hint of one.
    pub(super) fn signal(&self) -> EraSignal {
        let mut hints = self.hints.clone();
        if let Some(hints) = &mut hints {
            hints.mark_unchanged();
        }
        EraSignal {
            eras: self.eras.watch(),
            hints,
        }
    }
}

/// Waits for a change of the era.
#[derive(Debug)]
pub(super) struct EraSignal {
    eras: EraWatch,
    hints: Option<watch::Receiver<StoreEra>>,
}

impl EraSignal {
    /// Waits until the era may have changed since the signal was made.
    pub(super) async fn changed(mut self) {
        let hinted = async {
            let Some(hints) = &mut self.hints else {
                return pending().await;
            };
            if hints.changed().await.is_err() {
                pending::<()>().await;
            }
        };
        tokio::select! {
            () = self.eras.changed() => {}
            () = hinted => {}
        }
    }
}
