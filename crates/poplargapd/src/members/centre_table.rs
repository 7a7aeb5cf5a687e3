//! Loads of pools in other data centres, as their daemons tell them.

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

/// Age after which a summary counts no more; a data centre that is cut off places by its own mean.
const SUMMARY_AGE_MAX: Duration = Duration::from_secs(3);

/// Age up to which a summary is passed on to peers.
const RELAY_AGE_MAX: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct HeardSummary {
    direct: bool,
    heard: MonotonicInstant,
    pools: Vec<PoolSummary>,
}

/// The last summary of each other data centre.
#[derive(Debug)]
pub(super) struct CentreTable {
    own: DataCentre,
    summaries: HashMap<DataCentre, HeardSummary>,
}

impl CentreTable {
    /// Creates an empty table for a daemon of `own`.
    pub(super) fn new(own: DataCentre) -> Self {
        let summaries = HashMap::new();
        Self { own, summaries }
    }

    /// Takes a summary that came from the data centre itself.
    pub(super) fn hear_direct(&mut self, summary: CentreSummary, now: MonotonicInstant) {
        self.insert(summary, true, now);
    }

    /// Takes summaries that a peer passes on, unless they came directly as well.
    pub(super) fn hear_relayed(&mut self, summaries: Vec<CentreSummary>, now: MonotonicInstant) {
        for summary in summaries {
            let known = self.summaries.get(&summary.data_centre);
            let direct =
                known.is_some_and(|known| known.direct && now.since(known.heard) <= RELAY_AGE_MAX);
            if !direct {
                self.insert(summary, false, now);
            }
        }
    }

    /// Returns the summaries that are worth passing on.
    pub(super) fn relayed(&self, now: MonotonicInstant) -> Vec<CentreSummary> {
        let fresh = self
            .summaries
            .iter()
            .filter(|(_, heard)| heard.direct && now.since(heard.heard) <= RELAY_AGE_MAX);
        fresh
            .map(|(name, heard)| CentreSummary {
                data_centre: name.clone(),
                pools: heard.pools.clone(),
            })
            .collect()
    }

    /// Returns the loads of all other data centres together, by the hash of the pool's name.
    pub(super) fn loads(&self, now: MonotonicInstant) -> HashMap<u64, PoolLoad> {
        let mut loads: HashMap<u64, PoolLoad> = HashMap::new();
        let fresh = self
            .summaries
            .values()
            .filter(|heard| now.since(heard.heard) <= SUMMARY_AGE_MAX);
        for summary in fresh.flat_map(|heard| &heard.pools) {
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
            HeardSummary {
                direct,
                heard: now,
                pools,
            },
        );
    }
}
