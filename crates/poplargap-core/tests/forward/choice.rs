use {
    crate::{at, replicas},
    poplargap_core::{
        forward::{
            ChoiceRequest, LoadReport, ReplicaEntry, ReplicaTracker, SendOutcome, choose_replica,
        },
        instant::MonotonicInstant,
    },
    std::{collections::HashMap, sync::Arc},
};

/// Multiple of the mean, and requests above it, that no replica may hold.
const CAP_FACTOR: f64 = 2.0;
const CAP_SLACK: f64 = 3.0;

fn request(key: Option<u64>, shared_tokens: u64, now: MonotonicInstant) -> ChoiceRequest<'static> {
    ChoiceRequest {
        data_centre: "ne1",
        excluded: &[],
        key,
        now,
        prefers_local: false,
        shared_tokens,
        request_hash: 1,
    }
}

/// A fleet whose daemons hear of loads only from their own answers.
struct BlindFleet {
    trackers: Vec<ReplicaTracker>,
    held: HashMap<String, u32>,
    open: Vec<(u64, usize, Arc<ReplicaEntry>)>,
    replicas: Vec<Arc<ReplicaEntry>>,
}

impl BlindFleet {
    fn new(daemons: usize, count: usize) -> Self {
        Self {
            trackers: (0..daemons).map(|_| ReplicaTracker::default()).collect(),
            held: HashMap::new(),
            open: Vec::new(),
            replicas: replicas(count),
        }
    }

    /// Ends what is due at `ms`.
    fn end_due(&mut self, ms: u64) {
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(end, _, _)| *end <= ms);
        self.open = open;
        for (_, daemon, replica) in due {
            self.trackers[daemon].end(&replica.id);
            *self.held.get_mut(replica.id.as_ref()).expect("it is held") -= 1;
        }
    }

    /// Sends a request that lasts `length_ms`; returns what its replica held before, and the mean.
    fn send(&mut self, daemon: usize, key: u64, ms: u64, length_ms: u64) -> (f64, f64) {
        self.end_due(ms);
        let now = at(ms);
        let tracker = &mut self.trackers[daemon];
        let request = ChoiceRequest {
            request_hash: ms * 7_919,
            ..request(Some(key), 10_000, now)
        };
        tracker.record_prompt(key, now);
        let choice = choose_replica(&self.replicas, tracker, &request);
        let replica = choice.expect("there are replicas").replica;
        tracker.begin(&replica);
        tracker.record_cached(key, &replica, now);
        let held = self.held.entry(replica.id.as_ref().to_owned()).or_default();
        let before = f64::from(*held);
        *held += 1;
        let report = LoadReport {
            running: *held,
            waiting: 0,
        };
        tracker.record_report(&replica, report, now);
        tracker.record_success(&replica);
        let total: u32 = self.held.values().sum();
        let mean = f64::from(total) / self.replicas.len() as f64;
        self.open.push((ms + length_ms, daemon, replica));
        (before, mean)
    }
}

/// A hot prompt gets three requests in ten, at six daemons that don't speak to each other.
#[test]
fn hot_prompt_does_not_overload_its_replica() {
    let mut fleet = BlindFleet::new(6, 18);
    let (mut over, mut sent) = (0, 0);
    for step in 0_u64..6_000 {
        let key = if step % 10 < 3 {
            7
        } else {
            1_000 + step * 2_654_435_761 % 300
        };
        let daemon = (step * 40_503 % 6) as usize;
        let (before, mean) = fleet.send(daemon, key, step * 6, 1_200);
        if step > 600 {
            sent += 1;
            over += usize::from(before > CAP_FACTOR * mean + CAP_SLACK);
        }
    }
    assert!(over * 100 <= sent * 3, "{over} of {sent} over the cap");
}

/// The same at 67 daemons that each see little of 140 replicas, from the first second on.
#[test]
fn many_daemons_do_not_overload_a_replica_together() {
    let mut fleet = BlindFleet::new(67, 140);
    let (mut over, mut sent) = (0, 0);
    for step in 0_u64..8_000 {
        let key = if step % 10 < 2 {
            7
        } else {
            1_000 + step * 2_654_435_761 % 400
        };
        let daemon = (step * 40_503 % 67) as usize;
        let (before, mean) = fleet.send(daemon, key, step * 2, 1_200);
        if step > 500 {
            sent += 1;
            over += usize::from(before > CAP_FACTOR * mean + CAP_SLACK);
        }
    }
    assert!(over * 100 <= sent * 3, "{over} of {sent} over the cap");
}

#[test]
fn daemons_agree_on_a_prompt_without_a_message() {
    let replicas = replicas(18);
    let tracker = ReplicaTracker::default();
    let mut busy = ReplicaTracker::default();
    for replica in &replicas {
        busy.begin(replica);
    }
    for key in 0..200 {
        let request = request(Some(key), 10_000, at(0));
        let first = choose_replica(&replicas, &tracker, &request).expect("there are replicas");
        let second = choose_replica(&replicas, &busy, &request).expect("there are replicas");
        assert_eq!(first.replica.id, second.replica.id);
        assert_eq!(first.rank, Some(0));
    }
}

#[test]
fn new_replica_takes_only_its_share_of_prompts() {
    let all = replicas(20);
    let tracker = ReplicaTracker::default();
    let moved = (0..1_000)
        .filter(|key| {
            let request = request(Some(*key), 10_000, at(0));
            let before =
                choose_replica(&all[..19], &tracker, &request).expect("there are replicas");
            let after = choose_replica(&all, &tracker, &request).expect("there are replicas");
            before.replica.id != after.replica.id
        })
        .count();
    assert!(moved < 100, "{moved} of 1000 prompts moved");
}

#[test]
fn unreachable_replica_is_left_alone_and_a_pool_is_never_emptied() {
    let replicas = replicas(2);
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&replicas[0]);
    assert!(
        tracker
            .record_failure(&replicas[0], SendOutcome::NotSent, at(0))
            .replica
    );
    let request_then = request(None, 0, at(1));
    for _ in 0..10 {
        let choice = choose_replica(&replicas, &tracker, &request_then).expect("one is left");
        assert_eq!(choice.replica.id, replicas[1].id);
    }
    tracker.begin(&replicas[1]);
    tracker.record_failure(&replicas[1], SendOutcome::NotSent, at(0));
    assert!(choose_replica(&replicas, &tracker, &request_then).is_some());
}

#[test]
fn restarted_replica_is_not_blamed_for_its_past() {
    let mut restarted = (*replicas(1)[0]).clone();
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&restarted);
    tracker.end(&restarted.id);
    tracker.record_failure(&restarted, SendOutcome::NotSent, at(0));
    restarted.started_ms += 1;
    tracker.begin(&restarted);
    let load = tracker.load(&restarted.id).expect("it is known");
    assert!(!load.is_ejected(at(1)));
}

#[test]
fn near_replica_serves_unless_it_is_busier() {
    let replicas = replicas(2);
    let mut tracker = ReplicaTracker::default();
    let now = at(0);
    let near = |tracker: &ReplicaTracker| {
        choose_replica(&replicas, tracker, &request(None, 0, now))
            .is_some_and(|choice| choice.replica.data_centre.as_ref() == "ne1")
    };
    assert!(near(&tracker));
    for _ in 0..3 {
        tracker.begin(&replicas[0]);
    }
    assert!(!near(&tracker));
}

/// A data centre is cut off: each connection there costs its whole time to open.
#[test]
fn two_silent_replicas_speak_for_their_data_centre() {
    let replicas = replicas(12);
    let mut tracker = ReplicaTracker::default();
    for number in [1, 3] {
        tracker.begin(&replicas[number]);
        tracker.record_failure(&replicas[number], SendOutcome::Unreachable, at(100));
    }
    for key in 0..100 {
        let request = request(Some(key), 10_000, at(200));
        let choice = choose_replica(&replicas, &tracker, &request).expect("a half is left");
        assert_eq!(choice.replica.data_centre.as_ref(), "ne1");
    }
    assert!(
        !tracker.is_unavailable(&replicas[5], at(2_000)),
        "it is tried again"
    );
    tracker.record_failure(&replicas[5], SendOutcome::Unreachable, at(2_000));
    assert!(tracker.is_unavailable(&replicas[7], at(2_100)));
    assert!(tracker.record_success(&replicas[7]).centre);
    assert!(!tracker.is_unavailable(&replicas[7], at(2_100)));
}

/// Crashed replicas refuse connections at once, which says nothing of their neighbours.
#[test]
fn refused_connections_do_not_speak_for_a_data_centre() {
    let replicas = replicas(12);
    let mut tracker = ReplicaTracker::default();
    for number in [1, 3, 5] {
        tracker.begin(&replicas[number]);
        tracker.record_failure(&replicas[number], SendOutcome::NotSent, at(100));
    }
    assert!(!tracker.is_unavailable(&replicas[7], at(200)));
}

/// Seen in an incident: a data centre was alone, and a request tried the three others in turn.
#[test]
fn request_that_met_a_replica_out_of_reach_stays_near() {
    let replicas = replicas(12);
    let tracker = ReplicaTracker::default();
    for key in 0..50 {
        let near = ChoiceRequest {
            prefers_local: true,
            ..request(Some(key), 10_000, at(0))
        };
        let choice = choose_replica(&replicas, &tracker, &near).expect("a half is near");
        assert_eq!(choice.replica.data_centre.as_ref(), "ne1");
        let far_only = ChoiceRequest {
            data_centre: "ne9",
            ..near
        };
        assert!(choose_replica(&replicas, &tracker, &far_only).is_some());
    }
}
