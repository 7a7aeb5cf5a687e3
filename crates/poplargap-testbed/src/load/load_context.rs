//! State that the callers of a load share.

use {
    super::{CallRecord, LoadSettings},
    crate::caller::{CallerClient, CallerError},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Clients, settings and start time that the callers of a load share.
#[derive(Debug)]
pub(super) struct LoadContext {
    pub(super) clients: Vec<CallerClient>,
    pub(super) records: mpsc::UnboundedSender<CallRecord>,
    pub(super) settings: LoadSettings,
    pub(super) started_at: Instant,
}

impl LoadContext {
    pub(super) fn new(
        settings: LoadSettings,
        records: mpsc::UnboundedSender<CallRecord>,
    ) -> Result<Self, CallerError> {
        let clients = settings
            .workspaces
            .iter()
            .map(|load| CallerClient::new(load.key.as_str(), settings.call_timeout))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            clients,
            records,
            settings,
            started_at: Instant::now(),
        })
    }

    /// Sends a record to the tally.
    ///
    /// # Panics
    ///
    /// Panics when the tally no longer receives records.
    pub(super) fn record(&self, record: CallRecord) {
        self.records
            .send(record)
            .expect("the tally receives records until all callers have finished");
    }

    /// Waits until the planned time and returns the delay of the wake-up after it.
    pub(super) async fn wait_until(&self, at: Duration) -> Duration {
        let planned = self.started_at + at;
        sleep_until(planned).await;
        planned.elapsed()
    }
}

/// Returns each address once, in the order in which a load balancer tries them from the chosen one.
pub(super) fn addresses_from(
    addresses: &[SocketAddr],
    chosen: usize,
) -> impl Iterator<Item = SocketAddr> {
    let len = addresses.len();
    (0..len).map(move |offset| addresses[(chosen % len + offset) % len])
}
