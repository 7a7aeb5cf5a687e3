use {
    super::{
        ChangeRequest, FeedBatch,
        change_body::{ERA_HEADER, FeedBatchBody, read_era, read_urgent},
    },
    crate::SharedFeedSettings,
    displaydoc::Display,
    hyper::StatusCode,
    poplargap_core::collections::HashMap,
    poplargap_store::{HttpPool, StoreCounters, StoreEra, StoreError},
    std::{net::SocketAddr, time::Duration},
};

/// Kind of the traffic in the counters of control bytes.
const TRAFFIC_KIND: &str = "changes";

/// Why a daemon's changes can't be used.
#[derive(Debug, Display)]
pub(super) enum ReaderError {
    /// its last read of the store is {0:?} ago
    Aged(Duration),
    /// {0}
    Call(StoreError),
    /// this daemon reads from no other one
    NotShared,
    /// it follows era {0} of the store
    OtherEra(StoreEra),
    /// it doesn't have the changes; status {0}
    Refused(StatusCode),
}

/// Clients of the daemons that read the store for this one.
#[derive(Debug)]
pub(super) struct ReaderClients {
    pools: HashMap<SocketAddr, HttpPool>,
    settings: SharedFeedSettings,
}

impl ReaderClients {
    pub(super) fn new(settings: SharedFeedSettings) -> Self {
        Self {
            pools: HashMap::default(),
            settings,
        }
    }

    /// Sends a request to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't answer, doesn't have the changes, follows another era of
    /// the store, or last read the store too long ago.
    pub(super) async fn poll(
        &mut self,
        address: SocketAddr,
        request: ChangeRequest,
    ) -> Result<FeedBatch, ReaderError> {
        let pool = self.pool(address).map_err(ReaderError::Call)?;
        let url = pool.url(&request.path());
        let era = request.after.complete.era();
        let (urgent_header, urgent) = request.urgent();
        let answer = pool
            .send(request.wait, |client| {
                let call = client.get(url).header(ERA_HEADER, era.number());
                call.header(urgent_header, urgent)
            })
            .await;
        let answer = answer.map_err(ReaderError::Call)?;
        let stated = read_era(&answer.headers);
        if let Some(stated) = stated.filter(|stated| *stated != era) {
            return Err(ReaderError::OtherEra(stated));
        }
        if answer.status != StatusCode::OK {
            return Err(ReaderError::Refused(answer.status));
        }
        // A reader of an earlier release states no era, and doesn't notice when it changes.
        if stated.is_none() && era != StoreEra::default() {
            return Err(ReaderError::OtherEra(StoreEra::default()));
        }
        let body: FeedBatchBody = answer.decode().map_err(ReaderError::Call)?;
        let urgent = read_urgent(&answer.headers, body.revision());
        let batch = body.into_batch(era, urgent);
        if batch.age() >= self.settings.age_max {
            return Err(ReaderError::Aged(batch.age()));
        }
        Ok(batch)
    }

    /// Drops the clients of daemons that aren't readers any more.
    pub(super) fn retain(&mut self, is_reader: impl Fn(&SocketAddr) -> bool) {
        self.pools.retain(|address, _| is_reader(address));
    }

    fn pool(&mut self, address: SocketAddr) -> Result<HttpPool, StoreError> {
        if let Some(pool) = self.pools.get(&address) {
            return Ok(pool.clone());
        }
        let timeout = self.settings.poll_timeout;
        let pool = HttpPool::new(address, TRAFFIC_KIND, timeout, StoreCounters::new())?;
        self.pools.insert(address, pool.clone());
        Ok(pool)
    }
}
