use {
    crate::{at, replica},
    poplargap_core::forward::{
        ChoiceRequest, ColdLimit, LeaveReason, LeaveRequest, LeaveRule, LoadReport, PlaceFilter,
        ReplicaChoice, ReplicaEntry, ReplicaTracker, choose_replica,
    },
    std::{sync::Arc, time::Duration},
};

const CENTRES: [&str; 4] = ["ne1", "ne2", "ne3", "ne4"];
const REPLICAS_PER_CENTRE: usize = 6;
const SHORT_TOKENS: u64 = 699;
const LONG_TOKENS: u64 = 10_512;

const RULE: LeaveRule = LeaveRule {
    byte_price: Duration::from_micros(2),
};

fn replicas() -> Vec<Arc<ReplicaEntry>> {
    (0..CENTRES.len() * REPLICAS_PER_CENTRE)
        .map(|number| Arc::new(replica(number, CENTRES[number % CENTRES.len()])))
        .collect()
}

fn request(key: u64, shared_tokens: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        body_bytes: 830,
        cold: ColdLimit::default(),
        daemons: 85,
        data_centre: "ne1",
        drain: Duration::from_secs(2),
        excluded: &[],
        key: Some(key),
        leave: Some(RULE),
        now: at(1_000),
        places: PlaceFilter::default(),
        prefers_local: false,
        request_hash: key,
        shared_tokens,
    }
}

/// Returns a tracker that knows the distances, and `requests` at the replicas of each data centre.
fn tracker(replicas: &[Arc<ReplicaEntry>], requests: [u32; 4]) -> ReplicaTracker {
    let mut tracker = ReplicaTracker::default();
    for (number, replica) in replicas.iter().enumerate() {
        let report = LoadReport {
            running: requests[number % CENTRES.len()],
            ..LoadReport::default()
        };
        tracker.record_peer_report(replica, report, at(1_000));
        let is_own = replica.data_centre.as_ref() == "ne1";
        let way = if is_own { 1 } else { 9 };
        let distances = tracker.distances_mut();
        distances.record(&replica.data_centre, Duration::from_millis(way));
    }
    tracker
}

fn choose(tracker: &ReplicaTracker, replicas: &[Arc<ReplicaEntry>], key: u64) -> ReplicaChoice {
    let choice = choose_replica(replicas, tracker, &request(key, SHORT_TOKENS));
    choice.expect("there are replicas")
}

/// Returns the share of 1,000 short prompts that leave their data centre.
fn leaving_share(requests: [u32; 4]) -> f64 {
    let replicas = replicas();
    let tracker = tracker(&replicas, requests);
    let choices = (0..1_000).map(|key| choose(&tracker, &replicas, key));
    choices.filter(|choice| choice.leaves.is_some()).count() as f64 / 1_000.0
}

#[test]
fn request_stays_while_reading_its_prompt_takes_less_than_the_way_and_its_bytes() {
    let stays = |shared_tokens, distance_ms, body_bytes| {
        RULE.stays(&LeaveRequest {
            body_bytes,
            distance: Duration::from_millis(distance_ms),
            shared_tokens,
        })
    };
    assert!(stays(SHORT_TOKENS, 8, 830));
    assert!(!stays(SHORT_TOKENS, 1, 100), "the way is short");
    assert!(!stays(LONG_TOKENS, 8, 12_000));
    assert!(stays(LONG_TOKENS, 8, 200_000), "the bytes are dear");
    let free = LeaveRule {
        byte_price: Duration::ZERO,
    };
    let request = LeaveRequest {
        body_bytes: 200_000,
        distance: Duration::from_millis(8),
        shared_tokens: LONG_TOKENS,
    };
    assert!(!free.stays(&request));
}

/// Three of four short prompts left a data centre of four, also when its own replicas were idle.
#[test]
fn nothing_short_leaves_a_data_centre_that_is_no_fuller_than_the_others() {
    for requests in [[0; 4], [8; 4], [9, 8, 7, 8]] {
        assert!(leaving_share(requests) < 0.001, "{requests:?}");
    }
}

/// A surge at one data centre: it keeps what its replicas may hold, and the others take the rest.
#[test]
fn full_data_centre_sends_to_the_others_until_it_has_room_again() {
    assert!(leaving_share([30, 8, 8, 8]) > 0.99);
    assert!(leaving_share([9, 8, 8, 8]) < 0.001);
    let replicas = replicas();
    let tracker = tracker(&replicas, [30, 8, 8, 8]);
    let choice = choose(&tracker, &replicas, 1);
    assert_eq!(choice.leaves, Some(LeaveReason::OwnFull));
}

#[test]
fn long_prompt_has_one_home_for_all_data_centres_and_prefers_a_copy_in_its_own() {
    let replicas = replicas();
    let mut tracker = tracker(&replicas, [4; 4]);
    let long = |tracker: &ReplicaTracker, key| {
        let choice = choose_replica(&replicas, tracker, &request(key, LONG_TOKENS));
        choice.expect("there are replicas")
    };
    let there =
        (0..400).filter(|key| long(&tracker, *key).leaves == Some(LeaveReason::PromptThere));
    assert!((200..400).contains(&there.count()));
    for replica in &replicas[..2] {
        tracker.record_cached(7, replica, at(900));
    }
    assert_eq!(long(&tracker, 7).replica.data_centre.as_ref(), "ne1");
}

#[test]
fn data_centre_without_replicas_is_served_by_the_others() {
    let others: Vec<_> = replicas()
        .into_iter()
        .filter(|replica| replica.data_centre.as_ref() != "ne1")
        .collect();
    let tracker = tracker(&others, [0; 4]);
    let choice = choose(&tracker, &others, 3);
    assert_eq!(choice.leaves, Some(LeaveReason::NoneHere));
}

/// A deployment to which all data centres are alike places its prompts as before.
#[test]
fn prompts_ignore_the_data_centres_without_a_rule() {
    let replicas = replicas();
    let tracker = tracker(&replicas, [4; 4]);
    let left = (0..400).filter(|key| {
        let alike = ChoiceRequest {
            leave: None,
            ..request(*key, SHORT_TOKENS)
        };
        let choice = choose_replica(&replicas, &tracker, &alike).expect("there are replicas");
        assert_eq!(choice.leaves, None);
        choice.replica.data_centre.as_ref() != "ne1"
    });
    assert!((250..350).contains(&left.count()));
}
