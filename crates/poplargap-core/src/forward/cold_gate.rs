use {
    super::{PeerView, ReplicaEntry, ReplicaId, rendezvous},
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Daemons that send to one cold replica.
///
/// Each sends a third of the replica's rate. While views of the fleet differ, twice as many may
/// send, which the bound of one and a half times the rate and a few requests still covers.
const SENDERS: usize = 3;

/// Time over which a daemon's requests to a cold replica are counted.
const SEND_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a replica counts as cold after it should be warm, since what it registers is
/// older than it seems.
const COLD_MARGIN: Duration = Duration::from_millis(500);

/// Time without a request from this daemon after which a cold replica is chosen first, so that it
/// loads the prompts that it will serve.
const WARM_UP_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a daemon keeps its answer to whether it sends to a cold replica.
const SENDER_TTL: Duration = Duration::from_millis(500);

/// The limits of a service's cold replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that a cold replica bears from all daemons together; zero if cold replicas
    /// bear any load.
    pub per_second: f64,
    /// Time after the end of an evacuation for which replicas count as cold whatever they register.
    pub return_caution: Duration,
}

impl ColdLimit {
    /// Returns whether cold replicas bear only few requests.
    #[must_use]
    pub fn is_set(self) -> bool {
        self.per_second > 0.0
    }

    /// Returns the most requests of one daemon to one cold replica within [`SEND_WINDOW`].
    fn own_max(self) -> usize {
        ((self.per_second / SENDERS as f64) as usize).max(1)
    }

    /// Returns the most requests of one of `daemons` daemons to `replicas` cold replicas together
    /// within [`SEND_WINDOW`], if the service has no other ones.
    fn spread_max(self, replicas: usize, daemons: usize) -> usize {
        let all = self.per_second * replicas as f64;
        ((all / daemons.max(1) as f64) as usize).max(1)
    }
}

/// The fleet as one daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlace<'a> {
    /// The daemon's own address.
    pub own: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: &'a str,
    /// The other daemons.
    pub peers: &'a PeerView,
}

impl FleetPlace<'_> {
    /// Returns whether this daemon is one of those that send to `replica` while it is cold.
    ///
    /// These are the first ones in the rendezvous order of the replica among the daemons of its data
    /// centre, which reach it also while data centres are cut off from each other; among all
    /// daemons if it has none there.
    #[must_use]
    pub fn sends_to_cold(&self, replica: &ReplicaEntry) -> bool {
        let centre = replica.data_centre.as_ref();
        let is_local = self.data_centre == centre;
        let has_local = is_local || self.peers.local(centre).next().is_some();
        if has_local && !is_local {
            return false;
        }
        let key = xxh3_64(replica.id.as_bytes());
        let score = |address: SocketAddr| rendezvous::score(address.to_string().as_bytes(), key);
        let own = score(self.own);
        let ahead = |address: &SocketAddr| score(*address) > own;
        let count = if is_local {
            self.peers.local(centre).filter(ahead).take(SENDERS).count()
        } else {
            self.peers.all().filter(ahead).take(SENDERS).count()
        };
        count < SENDERS
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownSender {
    at: MonotonicInstant,
    sends: bool,
}

/// Limits a daemon's requests to cold replicas.
///
/// A cold replica bears few requests a second from all daemons together. A few daemons send to it,
/// each up to its part of the rate, and the others don't; which ones follows from rendezvous
/// hashing, so that nothing has to be agreed.
#[derive(Debug, Default)]
pub struct ColdGate {
    senders: HashMap<ReplicaId, KnownSender>,
    sends: HashMap<ReplicaId, VecDeque<MonotonicInstant>>,
    spread: VecDeque<MonotonicInstant>,
}

impl ColdGate {
    /// Returns whether a replica counts as cold from what it registered.
    #[must_use]
    pub fn is_cold(replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        replica
            .cold_until
            .is_some_and(|until| until + COLD_MARGIN > now)
    }

    /// Determines whether this daemon sends to a cold replica, if that isn't known already.
    pub fn refresh(
        &mut self,
        replica: &ReplicaEntry,
        fleet: &FleetPlace<'_>,
        now: MonotonicInstant,
    ) {
        let known = self.senders.get(&replica.id);
        if known.is_some_and(|known| now.since(known.at) < SENDER_TTL) {
            return;
        }
        let sends = fleet.sends_to_cold(replica);
        let known = KnownSender { at: now, sends };
        self.senders.insert(Arc::clone(&replica.id), known);
    }

    /// Returns whether this daemon may send a request to a cold replica now.
    #[must_use]
    pub fn allows(&self, id: &str, limit: ColdLimit, now: MonotonicInstant) -> bool {
        let sends = self.senders.get(id).is_some_and(|known| known.sends);
        sends && self.recent_sends(id, now) < limit.own_max()
    }

    /// Returns the time since this daemon's last request to a cold replica, if the replica should get
    /// the next one.
    #[must_use]
    pub fn due_since(&self, id: &str, now: MonotonicInstant) -> Option<Duration> {
        let last = self.sends.get(id).and_then(VecDeque::back);
        let idle = last.map_or(Duration::MAX, |last| now.since(*last));
        (idle >= WARM_UP_PAUSE).then_some(idle)
    }

    /// Returns whether this daemon may send to any of `replicas` cold replicas of a service that has
    /// no other ones; `daemons` is the number of daemons of the fleet.
    #[must_use]
    pub fn allows_spread(
        &self,
        limit: ColdLimit,
        replicas: usize,
        daemons: usize,
        now: MonotonicInstant,
    ) -> bool {
        let recent = recent(&self.spread, now);
        recent < limit.spread_max(replicas, daemons)
    }

    /// Records a request that is sent to a cold replica.
    pub fn record(&mut self, id: &ReplicaId, now: MonotonicInstant) {
        push(self.sends.entry(Arc::clone(id)).or_default(), now);
        push(&mut self.spread, now);
    }

    /// Returns the number of this daemon's requests to a replica within the last second.
    #[must_use]
    pub fn recent_sends(&self, id: &str, now: MonotonicInstant) -> usize {
        self.sends.get(id).map_or(0, |sends| recent(sends, now))
    }

    /// Removes what is older than the counted time.
    pub fn expire(&mut self, now: MonotonicInstant) {
        self.senders
            .retain(|_, known| now.since(known.at) < SENDER_TTL);
        self.sends.retain(|_, sends| {
            sends
                .back()
                .is_some_and(|last| now.since(*last) < SEND_WINDOW + WARM_UP_PAUSE)
        });
    }
}

fn recent(sends: &VecDeque<MonotonicInstant>, now: MonotonicInstant) -> usize {
    let newest = sends.iter().rev();
    newest
        .take_while(|at| now.since(**at) < SEND_WINDOW)
        .count()
}

/// Adds a request and removes those that aren't counted any more.
fn push(sends: &mut VecDeque<MonotonicInstant>, now: MonotonicInstant) {
    while sends
        .front()
        .is_some_and(|at| now.since(*at) >= SEND_WINDOW)
    {
        sends.pop_front();
    }
    sends.push_back(now);
}
