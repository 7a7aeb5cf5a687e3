use {
    crate::{at, replicas},
    poplargap_core::forward::{
        ChoiceRequest, LoadReport, PeerEntry, PeerView, PendingReports, ReplicaEntry, ReplicaLoad,
        ReplicaTracker, ReportSource, choose_replica,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Multiple of the mean, and requests above it, that no replica may hold.
const CAP_FACTOR: f64 = 2.0;
const CAP_SLACK: f64 = 3.0;

/// Time from a request to the head of its answer, which holds the replica's report.
const HEAD_MS: u64 = 400;

/// Pause between two rounds of telling.
const ROUND_MS: u64 = 200;

const LONG_PROMPT_TOKENS: u64 = 10_512;

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
    }
}

#[derive(Clone)]
struct OpenCall {
    daemon: usize,
    end: u64,
    head: u64,
    replica: Arc<ReplicaEntry>,
    reported: bool,
}

/// A fleet at the start of its traffic: no daemon has heard of any load.
struct StartingFleet {
    addresses: Vec<SocketAddr>,
    trackers: Vec<ReplicaTracker>,
    held: HashMap<String, u32>,
    open: Vec<OpenCall>,
    replicas: Vec<Arc<ReplicaEntry>>,
    tells: bool,
    views: Vec<PeerView>,
}

impl StartingFleet {
    fn new(daemons: usize, count: usize, tells: bool) -> Self {
        let entries: Vec<PeerEntry> = (0..daemons).map(peer).collect();
        let views = entries.iter();
        Self {
            addresses: entries.iter().map(|entry| entry.address).collect(),
            trackers: (0..daemons).map(|_| ReplicaTracker::default()).collect(),
            held: HashMap::new(),
            open: Vec::new(),
            replicas: replicas(count),
            tells,
            views: views
                .map(|entry| PeerView::new(&entries, entry.address))
                .collect(),
        }
    }

    /// Lets the time go on to `ms`.
    fn advance(&mut self, ms: u64) {
        let now = at(ms);
        for call in &mut self.open {
            let tracker = &mut self.trackers[call.daemon];
            if !call.reported && call.head <= ms {
                call.reported = true;
                let held = self.held[call.replica.id.as_ref()];
                tracker.record_report(&call.replica, report(held), now);
            }
            if call.end <= ms {
                tracker.end(&call.replica.id);
                *self.held.get_mut(call.replica.id.as_ref()).expect("held") -= 1;
            }
        }
        self.open.retain(|call| call.end > ms);
        if self.tells && ms.is_multiple_of(ROUND_MS) {
            self.tell(ms);
        }
    }

    /// Each daemon tells some others what it heard.
    fn tell(&mut self, ms: u64) {
        for daemon in 0..self.trackers.len() {
            let digest = self.trackers[daemon].take_digest(at(ms));
            let sample = self.views[daemon].sample(centre(daemon), ms + daemon as u64);
            for address in sample {
                let hearer = self.addresses.iter().position(|other| *other == address);
                let tracker = &mut self.trackers[hearer.expect("a daemon is there")];
                for cached in &digest.prefix_replicas {
                    let replica = self
                        .replicas
                        .iter()
                        .find(|entry| entry.id == cached.replica);
                    tracker.record_peer_cached(cached.key, replica.expect("known"), at(ms));
                }
                for told in &digest.reports {
                    let replica = self.replicas.iter().find(|entry| entry.id == told.replica);
                    let made = at(ms.saturating_sub(told.age_ms.into()));
                    tracker.record_peer_report(replica.expect("known"), told.report, made);
                }
            }
        }
    }

    /// Sends a request; returns whether its replica held more than the cap.
    fn send(&mut self, daemon: usize, key: u64, ms: u64, length_ms: u64) -> bool {
        let now = at(ms);
        let tracker = &mut self.trackers[daemon];
        let request = ChoiceRequest {
            data_centre: centre(daemon),
            excluded: &[],
            key: Some(key),
            now,
            prefers_local: false,
            shared_tokens: if key.is_multiple_of(3) {
                LONG_PROMPT_TOKENS
            } else {
                700
            },
            request_hash: ms * 7_919 + daemon as u64,
        };
        tracker.record_prompt(key, now);
        let choice = choose_replica(&self.replicas, tracker, &request);
        let replica = choice.expect("there are replicas").replica;
        tracker.begin(&replica);
        tracker.record_cached(key, &replica, now);
        let total: u32 = self.held.values().sum();
        let mean = f64::from(total) / self.replicas.len() as f64;
        let held = self.held.entry(replica.id.as_ref().to_owned()).or_default();
        let is_over = f64::from(*held) > CAP_FACTOR * mean + CAP_SLACK;
        *held += 1;
        self.open.push(OpenCall {
            daemon,
            end: ms + length_ms,
            head: ms + HEAD_MS,
            replica,
            reported: false,
        });
        is_over
    }
}

fn centre(daemon: usize) -> &'static str {
    ["ne1", "ne2", "ne3", "ne4"][daemon % 4]
}

fn peer(daemon: usize) -> PeerEntry {
    let host = u8::try_from(daemon + 1).expect("there are few daemons");
    PeerEntry {
        address: ([10, 0, 0, host], 7_340).into(),
        data_centre: centre(daemon).into(),
    }
}

/// Plays the first six seconds; returns the requests over the cap and all, from the first second.
fn start(daemons: usize, tells: bool) -> (usize, usize) {
    let mut fleet = StartingFleet::new(daemons, 64, tells);
    let (mut over, mut sent, mut state) = (0, 0, 88_172_645_463_325_252_u64);
    let mut random = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    for step in 0..3_000_u64 {
        let ms = step * 2;
        fleet.advance(ms);
        let draw = (random() >> 11) as f64 / (1_u64 << 53) as f64;
        let key = (40_f64.powf(draw) * 3.0) as u64;
        let daemon = (random() % daemons as u64) as usize;
        let is_over = fleet.send(daemon, key, ms, 1_200 + random() % 1_600);
        if ms >= 1_000 {
            sent += 1;
            over += usize::from(is_over);
        }
    }
    (over, sent)
}

/// Seen at the start of days with 82 daemons: 3.2 of 100 requests met a replica over the cap.
#[test]
fn daemons_that_tell_each_other_keep_the_cap_from_the_start() {
    let (over, sent) = start(82, true);
    assert!(over * 100 <= sent * 3, "{over} of {sent} over the cap");
}

/// The same load shows the fault where nobody tells, so the test above can fail.
#[test]
fn daemons_that_are_silent_do_not() {
    let (over, sent) = start(82, false);
    assert!(over * 100 > sent * 3, "{over} of {sent} over the cap");
}

#[test]
fn newer_report_wins_whoever_brings_it() {
    let replica = Arc::clone(&replicas(1)[0]);
    let mut tracker = ReplicaTracker::default();
    tracker.record_report(&replica, report(9), at(500));
    tracker.record_peer_report(&replica, report(4), at(400));
    let others = |tracker: &ReplicaTracker| {
        tracker
            .load(&replica.id)
            .and_then(ReplicaLoad::peer_requests)
    };
    assert_eq!(others(&tracker), Some(9));
    tracker.record_peer_report(&replica, report(4), at(600));
    assert_eq!(others(&tracker), Some(4));
    let load = tracker.load(&replica.id).expect("it is known");
    assert_eq!(load.report_source(), Some(ReportSource::Peer));
}

#[test]
fn report_of_a_peer_is_not_told_again() {
    let replica = Arc::clone(&replicas(1)[0]);
    let mut tracker = ReplicaTracker::default();
    tracker.record_peer_report(&replica, report(4), at(0));
    assert!(tracker.take_digest(at(1)).reports.is_empty());
    tracker.record_report(&replica, report(5), at(2));
    assert_eq!(tracker.take_digest(at(10)).reports[0].age_ms, 8);
    assert!(tracker.take_digest(at(11)).reports.is_empty());
}

#[test]
fn stale_news_is_not_told_and_news_is_bounded() {
    let mut pending = PendingReports::default();
    for number in 0..10_000 {
        pending.record(format!("replica-{number}").into(), report(1), at(0));
    }
    assert!(pending.take(at(1)).len() < 100);
    pending.record("replica-1".into(), report(1), at(0));
    assert!(pending.take(at(60_000)).is_empty());
}

#[test]
fn far_daemons_are_told_less_and_the_own_one_never() {
    let entries: Vec<PeerEntry> = (0..200).map(peer).collect();
    let view = PeerView::new(&entries, entries[0].address);
    assert_eq!(view.len(), 199);
    assert!(!view.is_known(&entries[0].address));
    let near = |address: &SocketAddr| {
        let position = entries.iter().position(|entry| entry.address == *address);
        centre(position.expect("it is known")) == "ne1"
    };
    let mut told: Vec<SocketAddr> = Vec::new();
    for round in 0..100 {
        let sample = view.sample("ne1", round);
        let far = sample.iter().filter(|address| !near(address)).count();
        assert!(far * 3 < sample.len(), "{far} of {}", sample.len());
        assert!(sample.len() <= 32);
        told.extend(sample);
    }
    assert!(
        entries[1..]
            .iter()
            .filter(|entry| told.contains(&entry.address))
            .count()
            > 150
    );
}
