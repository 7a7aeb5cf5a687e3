use {
    super::{
        ChangeRequest, ChangeShare, FeedBatch, FeedPosition,
        reader_clients::{ReaderClients, ReaderError},
    },
    crate::SharedFeedSettings,
    poplargap_core::{
        forward::{PeerView, ReadSource, ReaderRule},
        instant::MonotonicInstant,
    },
    poplargap_store::StoreRevision,
    slog::{Logger, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// What a daemon needs to share its reads of the store with others.
#[derive(Debug)]
pub(crate) struct FeedSharing {
    pub(crate) data_centre: String,
    pub(crate) own: SocketAddr,
    pub(crate) peers: watch::Receiver<Arc<PeerView>>,
    pub(crate) share: Arc<ChangeShare>,
}

/// The reads of the store that the daemons of a data centre share.
#[derive(Debug)]
pub(super) struct SharedReads {
    clients: ReaderClients,
    peers: watch::Receiver<Arc<PeerView>>,
    rule: ReaderRule,
    pub(super) share: Arc<ChangeShare>,
    source: ReadSource,
}

impl SharedReads {
    pub(super) fn new(sharing: FeedSharing, settings: SharedFeedSettings) -> Self {
        Self {
            clients: ReaderClients::new(settings),
            rule: ReaderRule::new(sharing.own, &sharing.data_centre),
            peers: sharing.peers,
            share: sharing.share,
            source: ReadSource::Store,
        }
    }

    /// Returns where to read the changes after `after`.
    pub(super) fn source(
        &mut self,
        after: StoreRevision,
        now: MonotonicInstant,
        log: &Logger,
    ) -> ReadSource {
        if self.peers.has_changed().unwrap_or(false) {
            self.rule.update(&self.peers.borrow_and_update());
            let rule = &self.rule;
            self.clients.retain(|address| rule.is_reader(address));
        }
        let source = self.rule.source(now);
        if source == ReadSource::StoreForOthers {
            self.share.ensure_started(after);
        } else {
            self.share.stop();
        }
        if source != self.source {
            let name: &'static str = source.into();
            info!(log, "source of the store's changes chosen"; "source" => name,
                "reader" => source.reader().map(|reader| reader.to_string()),
                "era" => after.era().number(), "revision" => after.number());
            self.source = source;
        }
        source
    }

    /// Records whether the daemon's own read of the store succeeded.
    pub(super) fn record_store_read(&mut self, is_read: bool) {
        self.rule.record_store_read(is_read);
    }

    /// Returns how long a watch of the store may wait for changes, usually `wait`.
    pub(super) fn store_wait(&self, wait: Duration) -> Duration {
        self.rule.store_wait(wait)
    }

    /// Requests the changes after a position from a reader, and records whether it sent them.
    pub(super) async fn poll(
        &mut self,
        reader: SocketAddr,
        after: FeedPosition,
        wait: Duration,
    ) -> Result<FeedBatch, ReaderError> {
        let request = ChangeRequest { after, wait };
        let batch = self.clients.poll(reader, request).await?;
        self.rule.record_success(&reader);
        Ok(batch)
    }

    /// Records that `reader` failed.
    pub(super) fn record_failure(
        &mut self,
        reader: SocketAddr,
        error: &ReaderError,
        now: MonotonicInstant,
        log: &Logger,
    ) {
        let pause = self.rule.record_failure(reader, now);
        warn!(log, "reader of the store failed; reading the store directly";
            "reader" => %reader, "error" => %error,
            "pause-ms" => crate::call_log::millis(pause));
    }
}
