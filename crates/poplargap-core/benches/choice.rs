//! Time of one decision: the replica for a prompt and the source to fetch it from.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    poplargap_core::{
        forward::{
            ChoiceRequest, ColdLimit, LoadReport, PlaceFilter, ReplicaEntry, ReplicaRegistry,
            ReplicaState, ReplicaTracker, SourceRequest, choose_replica, choose_source,
        },
        instant::MonotonicInstant,
    },
    std::{hint::black_box, time::Duration},
};

/// Numbers of replicas: those of two deployments, and of the planned size.
const SIZES: [usize; 3] = [84, 600, 12_000];

fn replica(number: usize) -> ReplicaEntry {
    ReplicaEntry {
        address: ([127, 0, 0, 1], 9_000).into(),
        cold_until: None,
        data_centre: format!("dc-{}", number % 6).into(),
        id: format!("replica-{number:010x}").into(),
        sequence: 1,
        service: "model".into(),
        slots: 64,
        started_ms: 1,
        state: ReplicaState::Ready,
    }
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    let now = MonotonicInstant::from_start(Duration::from_secs(1));
    for size in SIZES {
        let mut registry = ReplicaRegistry::default();
        let mut tracker = ReplicaTracker::default();
        for number in 0..size {
            let replica = replica(number);
            let report = LoadReport {
                running: (number % 9) as u32,
                waiting: 0,
                ..LoadReport::default()
            };
            tracker.record_peer_report(&replica, report, now);
            registry.put(replica);
        }
        let view = registry.view();
        let replicas = view.replicas("model");
        tracker.record_cached(7, &replicas[size / 2], now);
        let request = ChoiceRequest {
            body_bytes: 800,
            cold: ColdLimit::default(),
            daemons: 390,
            data_centre: "dc-1",
            drain: Duration::from_secs(2),
            excluded: &[],
            key: Some(7),
            leave: None,
            now,
            places: PlaceFilter::default(),
            prefers_local: false,
            request_hash: 3,
            shared_tokens: 5_000,
        };
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |bencher, _| {
            bencher.iter(|| {
                let choice = choose_replica(replicas, &tracker, black_box(&request));
                let choice = choice.expect("there are replicas");
                let request = SourceRequest {
                    chosen: &choice.replica,
                    key: 7,
                    now,
                    places: PlaceFilter::default(),
                    view: &view,
                };
                choose_source(&tracker, &request)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
