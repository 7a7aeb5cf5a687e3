//! Loads of pools in other data centres, from the summaries that their daemons send.

use {
    poplargap_core::{
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        name::DataCentre,
        owner::PoolLoad,
    },
    poplargap_link::heartbeat::{CentreSummary, PoolSummary},
    std::time::Duration,
};

/// Age after which a summary is ignored. Without fresh summaries, as when the data centre is cut
/// off, work is placed by the mean load of the own data centre.
const SUMMARY_AGE_MAX: Duration = Duration::from_secs(3);

/// Age up to which a summary is relayed to peers.
const RELAY_AGE_MAX: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ReceivedSummary {
    direct: bool,
    received: MonotonicInstant,
    pools: Vec<PoolSummary>,
}

/// The last summary of each other data centre.
#[derive(Debug)]
pub(super) struct CentreTable {
    own: DataCentre,
    summaries: HashMap<DataCentre, ReceivedSummary>,
}

impl CentreTable {
    /// Creates an empty table for a daemon of `own`.
    pub(super) fn new(own: DataCentre) -> Self {
        let summaries = HashMap::new();
        Self { own, summaries }
    }

    /// Stores a summary that was received from its data centre.
    pub(super) fn receive_direct(&mut self, summary: CentreSummary, now: MonotonicInstant) {
        self.insert(summary, true, now);
    }

    /// Stores summaries relayed by a peer, except those of data centres that sent one directly
    /// within `RELAY_AGE_MAX`.
    pub(super) fn receive_relayed(&mut self, summaries: Vec<CentreSummary>, now: MonotonicInstant) {
        for summary in summaries {
            let known = self.summaries.get(&summary.data_centre);
            let direct = known
                .is_some_and(|known| known.direct && now.since(known.received) <= RELAY_AGE_MAX);
            if !direct {
                self.insert(summary, false, now);
            }
        }
    }

    /// Returns the summaries to relay to peers: those received directly within `RELAY_AGE_MAX`.
    pub(super) fn to_relay(&self, now: MonotonicInstant) -> Vec<CentreSummary> {
        let fresh = self
            .summaries
            .iter()
            .filter(|(_, summary)| summary.direct && now.since(summary.received) <= RELAY_AGE_MAX);
        fresh
            .map(|(name, summary)| CentreSummary {
                data_centre: name.clone(),
                pools: summary.pools.clone(),
            })
            .collect()
    }

    /// Returns the total load of each pool in all other data centres, by the hash of the pool's
    /// name.
    pub(super) fn loads(&self, now: MonotonicInstant) -> HashMap<u64, PoolLoad> {
        let mut loads: HashMap<u64, PoolLoad> = HashMap::new();
        let fresh = self
            .summaries
            .values()
            .filter(|summary| now.since(summary.received) <= SUMMARY_AGE_MAX);
        for summary in fresh.flat_map(|received| &received.pools) {
            let load = loads.entry(summary.pool).or_default();
            load.in_flight += u64::from(summary.in_flight);
            load.upstreams += u64::from(summary.upstreams);
        }
        loads
    }

    fn insert(&mut self, summary: CentreSummary, direct: bool, now: MonotonicInstant) {
        if summary.data_centre == self.own {
            return;
        }
        let CentreSummary { data_centre, pools } = summary;
        self.summaries.insert(
            data_centre,
            ReceivedSummary {
                direct,
                received: now,
                pools,
            },
        );
    }
}
