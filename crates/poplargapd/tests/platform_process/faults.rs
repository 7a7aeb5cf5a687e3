use {
    crate::{callers::with_callers, site::FleetSite},
    poplargap_testbed::{replica::ReplicaFault, store::StoreFaults},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{process::Stdio, sync::atomic::Ordering, time::Duration},
    tokio::time::sleep,
};

/// Seeds of the soak; a seed that has failed stays here with its cause.
const SEEDS: [u64; 2] = [1, 2];

/// Variable with the number of seeds of a long run, which replace those above.
const SEEDS_VARIABLE: &str = "POPLARGAP_SOAK_SEEDS";

/// Time in which a configuration has to be in force after the faults, with that of the daemons' reads.
const CONFIGURED_MAX: Duration = Duration::from_secs(5);

/// Number of faults in one run.
const FAULT_COUNT: usize = 8;

/// Requests whose log lines fill the pipe and the log's queue.
const STALLED_CALLS: u64 = 6_000;

async fn play_fault(site: &mut FleetSite, random: &mut StdRng) {
    let daemon = random.random_range(0..site.daemons.len());
    let replica = site.replicas.choose(random).expect("there are replicas");
    let pause = Duration::from_millis(random.random_range(100..700));
    match random.random_range(0..9) {
        0 => {
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].wait_for_end().await.success());
            site.daemons[daemon].respawn();
        }
        1 => {
            site.daemons[daemon].signal("-KILL");
            site.daemons[daemon].wait_for_end().await;
            site.daemons[daemon].respawn();
        }
        2 => site.daemons[daemon].signal("-HUP"),
        3 => {
            site.daemons[daemon].signal("-STOP");
            sleep(pause).await;
            site.daemons[daemon].signal("-CONT");
        }
        4 => replica.set_fault(ReplicaFault::CloseUnanswered),
        5 => replica.set_fault(ReplicaFault::ExtraAnswer),
        6 => site.copy_store().await,
        7 => {
            // Only some of the daemons may be awake, and the others see the new era late.
            let is_frozen = random.random();
            if is_frozen {
                site.daemons[daemon].signal("-STOP");
            }
            site.restore_store(random.random_range(0..300)).await;
            sleep(pause).await;
            if is_frozen {
                site.daemons[daemon].signal("-CONT");
            }
        }
        _ => {
            let refuse = random.random();
            let faults = StoreFaults {
                refuse,
                silent: !refuse,
                ..StoreFaults::default()
            };
            site.set_store(faults).await;
            sleep(pause).await;
            site.set_store(StoreFaults::default()).await;
        }
    }
    sleep(pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_at_most_once_under_faults() {
    let count = std::env::var(SEEDS_VARIABLE);
    let count: Option<u64> = count.ok().and_then(|count| count.parse().ok());
    let seeds = count.map_or(SEEDS.to_vec(), |count| (1..=count).collect());
    for seed in seeds {
        eprintln!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut site = FleetSite::start(3, Stdio::null).await;
        site.copy_store().await;
        let record = with_callers(&mut site, async |site, _| {
            for _ in 0..FAULT_COUNT {
                play_fault(site, &mut random).await;
            }
            for replica in &site.replicas {
                replica.set_fault(ReplicaFault::default());
            }
            site.wait_until_ready().await;
        })
        .await;
        record.check(&site.runs());
        site.configure(seed + 1).await;
        site.wait_until_configured(seed + 1, CONFIGURED_MAX).await;
        assert!(
            record.served() * 2 > record.answers.len(),
            "more than half of the requests are served"
        );
        let after = with_callers(&mut site, async |_, _| {
            sleep(Duration::from_millis(500)).await;
        });
        let after = after.await;
        assert!(after.served() > 0, "requests are served after the faults");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_end_in_turn_lose_no_request() {
    let mut site = FleetSite::start(2, Stdio::null).await;
    let record = with_callers(&mut site, async |site, _| {
        for daemon in 0..2 {
            sleep(Duration::from_millis(200)).await;
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].wait_for_end().await.success());
            site.daemons[daemon].respawn();
            site.wait_until_ready().await;
        }
    })
    .await;
    let runs = site.runs();
    record.check(&runs);
    for (id, status) in &record.answers {
        let was_lost = status.is_none() && runs.contains_key(id);
        assert!(!was_lost, "{id} ran and its answer was lost");
    }
}

/// Nobody reads standard output: log lines are dropped, and neither requests nor the shutdown waits.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_reader_of_the_log_costs_no_request() {
    let mut site = FleetSite::start(1, Stdio::piped).await;
    let record = with_callers(&mut site, async |_, sent| {
        while sent.load(Ordering::Relaxed) < STALLED_CALLS {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert_eq!(record.served(), record.answers.len());
    site.daemons[0].signal("-TERM");
    assert!(site.daemons[0].wait_for_end().await.success());
}
