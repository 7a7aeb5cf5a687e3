use {
    crate::{at, replica},
    poplargap_core::{
        forward::{
            ChoiceRequest, ColdGate, ColdLimit, FleetPlace, PeerEntry, PeerView, PlaceFilter,
            PlacedBy, ReplicaEntry, ReplicaTracker, choose_replica,
        },
        instant::MonotonicInstant,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Requests a second that a cold replica bears.
const PER_SECOND: f64 = 11.0;

/// Most requests that may reach a cold replica within a second: 1.5 times its rate and 5 more.
const BOUND: usize = 21;

const CENTRES: [&str; 4] = ["dc-a", "dc-b", "dc-c", "dc-d"];

fn limit() -> ColdLimit {
    ColdLimit {
        per_second: PER_SECOND,
        return_caution: Duration::from_secs(2),
    }
}

fn cold(number: usize, centre: &str, until: MonotonicInstant) -> Arc<ReplicaEntry> {
    Arc::new(ReplicaEntry {
        cold_until: Some(until),
        ..replica(number, centre)
    })
}

fn address(number: usize) -> SocketAddr {
    (
        [10, 0, (number / 250) as u8, (number % 250) as u8 + 1],
        7_000,
    )
        .into()
}

fn entry(number: usize) -> PeerEntry {
    PeerEntry {
        address: address(number),
        data_centre: CENTRES[number % CENTRES.len()].into(),
    }
}

/// A fleet whose daemons know different parts of each other.
struct ColdFleet {
    arrivals: HashMap<Arc<str>, VecDeque<u64>>,
    trackers: Vec<ReplicaTracker>,
    views: Vec<PeerView>,
}

impl ColdFleet {
    /// Creates `count` daemons; each one's view misses a daemon with the probability `lag`, and has
    /// up to ten daemons that no longer exist.
    fn new(count: usize, lag: f64, rng: &mut ChaCha8Rng) -> Self {
        let views = (0..count).map(|own| {
            let gone = rng.random_range(0..10);
            let known: Vec<PeerEntry> = (0..count + gone)
                .filter(|_| !rng.random_bool(lag))
                .map(entry)
                .collect();
            PeerView::new(&known, address(own))
        });
        Self {
            arrivals: HashMap::new(),
            views: views.collect(),
            trackers: (0..count).map(|_| ReplicaTracker::default()).collect(),
        }
    }

    /// Sends a request of one daemon; returns the most requests that a cold replica got within the
    /// second that ends with it.
    fn send(&mut self, daemon: usize, replicas: &[Arc<ReplicaEntry>], key: u64, ms: u64) -> usize {
        let now = at(ms);
        let tracker = &mut self.trackers[daemon];
        let fleet = FleetPlace {
            own: address(daemon),
            data_centre: CENTRES[daemon % CENTRES.len()],
            peers: &self.views[daemon],
        };
        let request = ChoiceRequest {
            body_bytes: 800,
            cold: limit(),
            daemons: self.views[daemon].len() + 1,
            data_centre: fleet.data_centre,
            drain: Duration::from_secs(2),
            excluded: &[],
            key: Some(key),
            leave: None,
            now,
            places: PlaceFilter::default(),
            prefers_local: false,
            shared_tokens: 700,
            request_hash: key.wrapping_mul(31) ^ ms,
        };
        for replica in replicas.iter().filter(|replica| request.is_cold(replica)) {
            tracker.cold_gate_mut().refresh(replica, &fleet, now);
        }
        let Some(choice) = choose_replica(replicas, tracker, &request) else {
            return 0;
        };
        if !choice.is_cold {
            return 0;
        }
        let id = Arc::clone(&choice.replica.id);
        tracker.cold_gate_mut().record(&id, now);
        let arrivals = self.arrivals.entry(id).or_default();
        arrivals.push_back(ms);
        while arrivals.front().is_some_and(|first| first + 1_000 <= ms) {
            arrivals.pop_front();
        }
        arrivals.len()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// All daemons sent their requests to the replicas that had just returned empty, and these
    /// crashed under more than they bore while cold.
    #[test]
    fn cold_replicas_stay_within_their_rate_whatever_the_daemons_know_of_each_other(
        seed in any::<u64>(),
        daemons in 85_usize..390,
        lag in 0.0..0.4,
        hot in 0.0..0.6,
    ) {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = ColdFleet::new(daemons, lag, rng);
        let warm_until = at(0);
        let mut replicas: Vec<_> = (0..60)
            .map(|number| cold(number, CENTRES[number % 4], warm_until))
            .collect();
        let mut worst = 0;
        for step in 0..12_000_u64 {
            let ms = step / 2;
            if step % 1_500 == 0 {
                let number = rng.random_range(0..60);
                replicas[number] = cold(number, CENTRES[number % 4], at(ms + 3_000));
            }
            let key = if rng.random_bool(hot) { 7 } else { rng.random_range(0..200) };
            let daemon = rng.random_range(0..daemons);
            worst = worst.max(fleet.send(daemon, &replicas, key, ms + 2_000));
        }
        prop_assert!(worst <= BOUND, "{worst} requests in a second");
    }
}

/// A data centre whose replicas all return cold in a burst of twice the usual load: while work waits,
/// each one has to get some, or its cache is still empty when it takes its whole share.
#[test]
fn no_cold_replica_waits_longer_than_a_second_for_requests_in_a_burst() {
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    let mut fleet = ColdFleet::new(85, 0.0, rng);
    let replicas: Vec<_> = (0..90)
        .map(|number| {
            let until = if number % 4 == 1 { at(60_000) } else { at(0) };
            cold(number, CENTRES[number % 4], until)
        })
        .collect();
    let mut last: HashMap<usize, u64> = HashMap::new();
    for step in 0..10_000_u64 {
        let ms = 1_000 + step;
        let daemon = rng.random_range(0..85);
        fleet.send(daemon, &replicas, rng.random_range(0..400), ms);
        for number in (0..90).filter(|number| number % 4 == 1) {
            let arrivals = fleet.arrivals.get(&replicas[number].id);
            if let Some(newest) = arrivals.and_then(VecDeque::back) {
                last.insert(number, *newest);
            }
        }
        if ms > 3_000 {
            for number in (0..90).filter(|number| number % 4 == 1) {
                let newest = last.get(&number).copied().unwrap_or(0);
                assert!(ms - newest < 1_000, "replica {number} at {ms} ms");
            }
        }
    }
}

/// All replicas restarted together; a daemon that sends to none of them refused everything.
#[test]
fn service_whose_replicas_are_all_cold_is_served_within_their_rates() {
    let rng = &mut ChaCha8Rng::seed_from_u64(2);
    let mut fleet = ColdFleet::new(85, 0.0, rng);
    let replicas: Vec<_> = (0..90)
        .map(|number| cold(number, CENTRES[number % 4], at(60_000)))
        .collect();
    let (mut worst, mut served) = (0, 0);
    for step in 0..2_500_u64 {
        let daemon = rng.random_range(0..85);
        let count = fleet.send(
            daemon,
            &replicas,
            rng.random_range(0..400),
            1_000 + step * 2,
        );
        worst = worst.max(count);
        served += usize::from(count > 0);
    }
    assert!(worst <= BOUND, "{worst} requests in a second");
    assert!(served > 2_400, "{served} of 2500");
}

#[test]
fn replica_that_bears_any_load_while_cold_is_not_limited() {
    let replicas = [cold(0, "dc-a", at(60_000))];
    let tracker = ReplicaTracker::default();
    let request = ChoiceRequest {
        body_bytes: 800,
        cold: ColdLimit::default(),
        daemons: 6,
        data_centre: "dc-b",
        drain: Duration::from_secs(2),
        excluded: &[],
        key: None,
        leave: None,
        now: at(0),
        places: PlaceFilter::default(),
        prefers_local: false,
        shared_tokens: 0,
        request_hash: 1,
    };
    let choice = choose_replica(&replicas, &tracker, &request).expect("a replica");
    assert_eq!(choice.placed_by, PlacedBy::Load);
    assert!(ColdGate::is_cold(&replicas[0], at(60_400)), "with a margin");
    assert!(!ColdGate::is_cold(&replicas[0], at(60_600)));
}
