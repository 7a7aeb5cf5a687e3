use {
    crate::{at, replicas},
    poplargap_core::{
        forward::{
            ChoiceRequest, ColdLimit, LoadReport, PlaceFilter, ReplicaEntry, ReplicaTracker,
            SendOutcome, choose_replica,
        },
        instant::MonotonicInstant,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// A replica is overloaded with more requests than this multiple of the mean plus the slack.
const CAP_FACTOR: f64 = 2.0;
const CAP_SLACK_REQUESTS: f64 = 3.0;

fn request(key: Option<u64>, shared_tokens: u64, now: MonotonicInstant) -> ChoiceRequest<'static> {
    ChoiceRequest {
        body_bytes: 800,
        cold: ColdLimit::default(),
        daemons: 6,
        data_centre: "ne1",
        drain: Duration::from_secs(2),
        excluded: &[],
        key,
        leave: None,
        now,
        places: PlaceFilter::default(),
        prefers_local: false,
        shared_tokens,
        request_hash: 1,
    }
}

/// A fleet whose daemons get load reports only with replies to their own requests.
struct UncoordinatedFleet {
    trackers: Vec<ReplicaTracker>,
    in_flight: HashMap<String, u32>,
    open: Vec<(u64, usize, Arc<ReplicaEntry>)>,
    replicas: Vec<Arc<ReplicaEntry>>,
}

impl UncoordinatedFleet {
    fn new(daemons: usize, count: usize) -> Self {
        Self {
            trackers: (0..daemons).map(|_| ReplicaTracker::default()).collect(),
            in_flight: HashMap::new(),
            open: Vec::new(),
            replicas: replicas(count),
        }
    }

    /// Ends the requests that are due at `ms`.
    fn end_due(&mut self, ms: u64) {
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(end, _, _)| *end <= ms);
        self.open = open;
        for (_, daemon, replica) in due {
            self.trackers[daemon].end(&replica.id);
            *self
                .in_flight
                .get_mut(replica.id.as_ref())
                .expect("the replica has requests") -= 1;
        }
    }

    /// Sends a request that lasts `length_ms`; returns its replica's requests before it, and the
    /// mean of all replicas.
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
        tracker.begin(&replica, now);
        tracker.record_cached(key, &replica, now);
        let in_flight = self
            .in_flight
            .entry(replica.id.as_ref().to_owned())
            .or_default();
        let before = f64::from(*in_flight);
        *in_flight += 1;
        let report = LoadReport {
            running: *in_flight,
            waiting: 0,
            ..LoadReport::default()
        };
        tracker.record_report(&replica, report, now);
        tracker.record_success(&replica);
        let total: u32 = self.in_flight.values().sum();
        let mean = f64::from(total) / self.replicas.len() as f64;
        self.open.push((ms + length_ms, daemon, replica));
        (before, mean)
    }
}

/// Three of ten requests have the same prompt, at six daemons that exchange no load reports.
#[test]
fn hot_prompt_does_not_overload_its_replica() {
    let mut fleet = UncoordinatedFleet::new(6, 18);
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
            over += usize::from(before > CAP_FACTOR * mean + CAP_SLACK_REQUESTS);
        }
    }
    assert!(over * 100 <= sent * 3, "{over} of {sent} over the cap");
}

/// Two of ten requests have the same prompt, at 67 daemons that each see few reports of 140
/// replicas; from the first second on.
#[test]
fn many_daemons_do_not_overload_a_replica_together() {
    let mut fleet = UncoordinatedFleet::new(67, 140);
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
            over += usize::from(before > CAP_FACTOR * mean + CAP_SLACK_REQUESTS);
        }
    }
    assert!(over * 100 <= sent * 3, "{over} of {sent} over the cap");
}

#[test]
fn daemons_choose_the_same_replica_for_a_prompt_without_coordination() {
    let replicas = replicas(18);
    let tracker = ReplicaTracker::default();
    let mut busy = ReplicaTracker::default();
    for replica in &replicas {
        busy.begin(replica, at(0));
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
fn unreachable_replica_is_ejected_unless_none_is_left() {
    let replicas = replicas(2);
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&replicas[0], at(0));
    assert!(
        tracker
            .record_failure(&replicas[0], SendOutcome::NotSent, at(0))
            .replica
    );
    let request_then = request(None, 0, at(1));
    for _ in 0..10 {
        let choice =
            choose_replica(&replicas, &tracker, &request_then).expect("one replica is left");
        assert_eq!(choice.replica.id, replicas[1].id);
    }
    tracker.begin(&replicas[1], at(0));
    tracker.record_failure(&replicas[1], SendOutcome::NotSent, at(0));
    assert!(choose_replica(&replicas, &tracker, &request_then).is_some());
}

#[test]
fn restart_clears_the_failures_of_a_replica() {
    let mut restarted = (*replicas(1)[0]).clone();
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&restarted, at(0));
    tracker.end(&restarted.id);
    tracker.record_failure(&restarted, SendOutcome::NotSent, at(0));
    restarted.started_ms += 1;
    tracker.begin(&restarted, at(0));
    let load = tracker.load(&restarted.id).expect("the replica is known");
    assert!(!load.is_ejected(at(1)));
}

#[test]
fn local_replica_is_chosen_unless_it_is_busier() {
    let replicas = replicas(2);
    let mut tracker = ReplicaTracker::default();
    let now = at(0);
    let prefers_local = |tracker: &ReplicaTracker| {
        choose_replica(&replicas, tracker, &request(None, 0, now))
            .is_some_and(|choice| choice.replica.data_centre.as_ref() == "ne1")
    };
    assert!(prefers_local(&tracker));
    for _ in 0..3 {
        tracker.begin(&replicas[0], at(0));
    }
    assert!(!prefers_local(&tracker));
}

/// In a network partition each connection to the other data centre waits for its timeout.
#[test]
fn data_centre_is_unreachable_after_two_connection_timeouts() {
    let replicas = replicas(12);
    let mut tracker = ReplicaTracker::default();
    for number in [1, 3] {
        tracker.begin(&replicas[number], at(0));
        tracker.record_failure(&replicas[number], SendOutcome::Unreachable, at(100));
    }
    for key in 0..100 {
        let request = request(Some(key), 10_000, at(200));
        let choice =
            choose_replica(&replicas, &tracker, &request).expect("half of the replicas are left");
        assert_eq!(choice.replica.data_centre.as_ref(), "ne1");
    }
    assert!(
        !tracker.is_unavailable(&replicas[5], at(2_000)),
        "the data centre is tried again"
    );
    tracker.record_failure(&replicas[5], SendOutcome::Unreachable, at(2_000));
    assert!(tracker.is_unavailable(&replicas[7], at(2_100)));
    assert!(tracker.record_success(&replicas[7]).centre);
    assert!(!tracker.is_unavailable(&replicas[7], at(2_100)));
}

/// In a cut of 6 s, all requests of a daemon went to the other data centre again after each pause.
#[test]
fn one_request_at_a_time_probes_an_unreachable_data_centre() {
    let replicas = replicas(12);
    let mut tracker = ReplicaTracker::default();
    for number in [1, 3] {
        tracker.begin(&replicas[number], at(0));
        tracker.record_failure(&replicas[number], SendOutcome::Unreachable, at(300));
    }
    assert!(!tracker.is_unavailable(&replicas[5], at(1_200)));
    tracker.begin(&replicas[5], at(1_200));
    assert!(tracker.is_unavailable(&replicas[7], at(1_201)));
    assert!(tracker.is_unavailable(&replicas[7], at(1_499)));
    tracker.record_failure(&replicas[5], SendOutcome::Unreachable, at(1_500));
    assert!(tracker.is_unavailable(&replicas[7], at(2_200)));
    tracker.begin(&replicas[9], at(2_400));
    assert!(tracker.record_success(&replicas[9]).centre);
    assert!(!tracker.is_unavailable(&replicas[7], at(2_401)));
}

/// Crashed model replicas took each request and closed its connection, up to 23 times a replica.
#[test]
fn replica_that_leaves_two_requests_unanswered_is_ejected() {
    let replicas = replicas(3);
    let mut tracker = ReplicaTracker::default();
    tracker.begin(&replicas[0], at(0));
    assert!(
        !tracker
            .record_failure(&replicas[0], SendOutcome::Broken, at(1))
            .replica
    );
    assert!(
        tracker
            .record_failure(&replicas[0], SendOutcome::Silent, at(2))
            .replica
    );
    // An error is an answer: the request itself may be its cause.
    tracker.begin(&replicas[1], at(0));
    for ms in [1, 2, 3] {
        assert!(
            !tracker
                .record_failure(&replicas[1], SendOutcome::Failed, at(ms))
                .replica
        );
    }
    assert!(
        tracker
            .record_failure(&replicas[1], SendOutcome::Failed, at(4))
            .replica
    );
}

/// Crashed replicas refuse connections at once, so their data centre is still reachable.
#[test]
fn refused_connections_do_not_make_a_data_centre_unreachable() {
    let replicas = replicas(12);
    let mut tracker = ReplicaTracker::default();
    for number in [1, 3, 5] {
        tracker.begin(&replicas[number], at(0));
        tracker.record_failure(&replicas[number], SendOutcome::NotSent, at(100));
    }
    assert!(!tracker.is_unavailable(&replicas[7], at(200)));
}

/// During a partition that isolated one data centre, a request tried the three others in turn and
/// waited for a connection timeout in each.
#[test]
fn request_stays_local_after_an_unreachable_replica() {
    let replicas = replicas(12);
    let tracker = ReplicaTracker::default();
    for key in 0..50 {
        let local = ChoiceRequest {
            prefers_local: true,
            ..request(Some(key), 10_000, at(0))
        };
        let choice =
            choose_replica(&replicas, &tracker, &local).expect("half of the replicas are local");
        assert_eq!(choice.replica.data_centre.as_ref(), "ne1");
        let remote_only = ChoiceRequest {
            data_centre: "ne9",
            drain: Duration::from_secs(2),
            ..local
        };
        assert!(choose_replica(&replicas, &tracker, &remote_only).is_some());
    }
}
