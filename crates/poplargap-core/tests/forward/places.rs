use {
    crate::{at, replica, replicas},
    poplargap_core::{
        collections::{HashMap, HashSet},
        forward::{
            ChoiceRequest, ColdLimit, EvacuationChange, EvacuationView, LoadReport, PlaceFilter,
            RegionTable, ReplicaEntry, ReplicaTracker, choose_replica,
        },
        instant::MonotonicInstant,
    },
    std::{sync::Arc, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(5);

fn request(places: PlaceFilter<'_>, now: MonotonicInstant) -> ChoiceRequest<'_> {
    ChoiceRequest {
        body_bytes: 800,
        cold: ColdLimit::default(),
        daemons: 6,
        data_centre: "ne1",
        drain: Duration::from_secs(2),
        excluded: &[],
        key: Some(places.point),
        leave: None,
        now,
        places,
        prefers_local: false,
        shared_tokens: 10_000,
        request_hash: 1,
    }
}

fn regions() -> RegionTable {
    let entries = [
        ("ne1", "new-england"),
        ("ne2", "new-england"),
        ("fl1", "florida"),
    ];
    let entries = entries.into_iter();
    entries
        .map(|(centre, region)| (Arc::from(centre), Arc::from(region)))
        .collect::<HashMap<_, _>>()
}

fn moved_to(number: usize, centre: &str) -> Arc<ReplicaEntry> {
    Arc::new(replica(number, centre))
}

/// Requests went on to the replicas of a data centre that operators wanted empty.
#[test]
fn evacuated_data_centre_gets_nothing_within_the_limit() {
    let replicas = replicas(12);
    let tracker = ReplicaTracker::default();
    let mut view = EvacuationView::default();
    assert!(view.begin("ne1", at(0), LIMIT));
    for (ms, most) in [(0, 200), (500, 60), (1_000, 0), (60_000, 0)] {
        let mut reached = 0;
        for point in 0..200 {
            let places = PlaceFilter {
                evacuations: Some(&view),
                point,
                ..PlaceFilter::default()
            };
            let choice = choose_replica(&replicas, &tracker, &request(places, at(ms)));
            let choice = choice.expect("another data centre has replicas");
            reached += usize::from(choice.replica.data_centre.as_ref() == "ne1");
        }
        assert!(reached <= most, "{reached} after {ms} ms");
    }
}

/// The bound was based on the mean of all replicas, those of the empty data centre included. The others
/// reached it, so that all daemons sent to the one with the lowest load in the last reports.
#[test]
fn load_of_an_evacuated_data_centre_is_spread_by_prompt_over_the_others() {
    let centres = ["ne1", "ne2", "ne3", "ne4"];
    let replicas: Vec<_> = (0..16)
        .map(|number| moved_to(number, centres[number % 4]))
        .collect();
    let mut tracker = ReplicaTracker::default();
    for replica in &replicas {
        let is_empty = replica.data_centre.as_ref() == "ne1";
        let report = LoadReport {
            running: if is_empty { 0 } else { 16 },
            ..LoadReport::default()
        };
        tracker.record_peer_report(replica, report, at(0));
    }
    let mut view = EvacuationView::default();
    view.begin("ne1", at(0), Duration::ZERO);
    let mut chosen = HashSet::default();
    for point in 0..200 {
        let places = PlaceFilter {
            evacuations: Some(&view),
            point,
            ..PlaceFilter::default()
        };
        let request = ChoiceRequest {
            shared_tokens: 700,
            ..request(places, at(1))
        };
        let choice = choose_replica(&replicas, &tracker, &request);
        let replica = choice.expect("three data centres are left").replica;
        chosen.insert(Arc::clone(&replica.id));
    }
    assert_eq!(chosen.len(), 12);
}

/// All prompts of a data centre moved at once, and the others had to prefill all of them.
#[test]
fn load_of_an_evacuated_data_centre_moves_in_steps_that_are_the_same_at_all_daemons() {
    let mut view = EvacuationView::default();
    view.begin("ne1", at(0), LIMIT);
    let moved = |ms| -> Vec<u64> {
        let points = 0..1_000;
        points
            .filter(|point| view.closes("ne1", *point, at(ms)))
            .collect()
    };
    let (early, late) = (moved(250), moved(750));
    assert!((150..350).contains(&early.len()), "{}", early.len());
    assert!((650..850).contains(&late.len()), "{}", late.len());
    assert!(early.iter().all(|point| late.contains(point)));
}

#[test]
fn evacuation_that_a_starting_daemon_finds_is_in_force_at_once() {
    let mut view = EvacuationView::default();
    let changes = view.replace(&["ne1", "nowhere"], at(10));
    assert_eq!(changes.len(), 2);
    assert!((0..100).all(|point| view.closes("ne1", point, at(10))));
    let changes = view.replace(&["ne1"], at(20));
    assert_eq!(changes, [("nowhere".into(), EvacuationChange::Ended)]);
    assert!(view.is_evacuated("ne1"));
}

/// A repeated request to evacuate must not begin the move anew.
#[test]
fn repeated_evacuation_keeps_its_start_and_one_ends_while_another_begins() {
    let mut view = EvacuationView::default();
    view.begin("ne1", at(0), LIMIT);
    assert!(!view.begin("ne1", at(1_500), LIMIT));
    assert!(view.closes("ne1", 3, at(1_500)));
    assert!(view.end("ne1", at(2_000)));
    view.begin("ne2", at(2_000), LIMIT);
    assert!(!view.closes("ne1", 3, at(9_000)));
    assert!(view.closes("ne2", 3, at(9_000)));
    assert!(!view.end("ne1", at(9_000)), "it has ended");
    assert!(view.has_returned_within("ne1", Duration::from_secs(3), at(4_000)));
    assert!(!view.has_returned_within("ne1", Duration::from_secs(3), at(5_000)));
}

#[test]
fn request_stays_in_the_homes_of_its_route_and_of_its_workspace() {
    let regions = regions();
    let (home, other): (Arc<str>, Arc<str>) = ("new-england".into(), "florida".into());
    let filter = |route_homes, workspace_homes| PlaceFilter {
        regions: Some(&regions),
        route_homes,
        workspace_homes,
        ..PlaceFilter::default()
    };
    let (home, other) = ([home], [other]);
    let allowed = |places: PlaceFilter<'_>| {
        let centres = ["ne1", "ne2", "fl1", "unknown"];
        centres.map(|centre| places.allows(centre, at(0)))
    };
    assert_eq!(allowed(filter(&[], &[])), [true, true, true, true]);
    assert_eq!(allowed(filter(&home, &[])), [true, true, false, false]);
    assert_eq!(allowed(filter(&[], &other)), [false, false, true, false]);
    assert_eq!(allowed(filter(&home, &other)), [false; 4]);
}

/// The home's replicas were lost, and the request went to another region.
#[test]
fn request_whose_home_is_lost_reaches_no_other_region() {
    let replicas = vec![moved_to(0, "fl1"), moved_to(1, "fl1")];
    let (tracker, regions) = (ReplicaTracker::default(), regions());
    let homes = ["new-england".into()];
    let places = PlaceFilter {
        regions: Some(&regions),
        route_homes: &homes,
        ..PlaceFilter::default()
    };
    assert!(choose_replica(&replicas, &tracker, &request(places, at(0))).is_none());
}
