//! Tests of class limits shared by several data centres.

mod fleet;
mod loans;

use {
    fleet::{Fault, Fleet, Setting},
    poplargap_core::{
        catalogue::LimitSet,
        limit::{Allowance, base_share},
        name::{ClassName, DataCentre},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const SETTING: Setting = Setting {
    centres: 3,
    daemons: 3,
    delay_ms: 30,
    limits: LimitSet {
        concurrency: Some(6),
        requests_per_second: None,
        tokens_per_minute: None,
    },
    load_percent: 50,
    lost_percent: 0,
    step_ms: 20,
};

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn limits() -> impl Strategy<Value = LimitSet> {
    let amounts = (prop::option::of(1..12_u32), prop::option::of(1..12_u32));
    amounts.prop_map(|(concurrency, requests_per_second)| LimitSet {
        concurrency,
        requests_per_second,
        tokens_per_minute: None,
    })
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        (0..9_usize).prop_map(|daemon| Fault::Crash { daemon }),
        (0..3_usize).prop_map(|centre| Fault::CrashLender { centre }),
        (0..3_usize, 100..5000_u64).prop_map(|(centre, ms)| Fault::CutOff { centre, ms }),
        (0..3_usize).prop_map(|centre| Fault::Handover { centre }),
        (0..9_usize, 100..6000_u64).prop_map(|(daemon, ms)| Fault::Pause { daemon, ms }),
        (0..3_usize, 100..6000_u64).prop_map(|(centre, ms)| Fault::PauseLender { centre, ms }),
        (100..3000_u64).prop_map(|ms| Fault::Silence { ms }),
    ];
    prop::collection::vec((0..1000_u64, fault), 0..30)
}

proptest! {
    #![proptest_config(config(24, 42))]

    #[test]
    fn limits_hold_through_faults(
        seed in any::<u64>(),
        limits in limits(),
        centres in 1..4_usize,
        daemons in 2..4_usize,
        load_percent in 2..60_u64,
        faults in faults(),
    ) {
        let setting = Setting { centres, daemons, limits, load_percent, lost_percent: 8, ..SETTING };
        let mut fleet = Fleet::new(setting, seed);
        for step in 0..1500 {
            for (_, fault) in faults.iter().filter(|(at, _)| *at == step) {
                fleet.inject(*fault);
            }
            fleet.step();
        }
    }

    #[test]
    fn token_limits_hold_through_faults(
        seed in any::<u64>(),
        tokens in 40..600_u64,
        load_percent in 2..30_u64,
        faults in faults(),
    ) {
        let limits = LimitSet { tokens_per_minute: Some(tokens), ..LimitSet::default() };
        let setting = Setting { limits, load_percent, lost_percent: 8, step_ms: 100, ..SETTING };
        let mut fleet = Fleet::new(setting, seed);
        fleet.warm_up();
        for step in 0..1500 {
            for (_, fault) in faults.iter().filter(|(at, _)| *at == step) {
                fleet.inject(*fault);
            }
            fleet.step();
        }
        prop_assert!(fleet.admitted() > 0);
    }

    #[test]
    fn in_flight_stays_under_the_limit_while_loans_are_renewed(
        seed in any::<u64>(),
        concurrency in 1..12_u32,
        load_percent in 2..60_u64,
    ) {
        let limits = LimitSet { concurrency: Some(concurrency), ..LimitSet::default() };
        let mut fleet = Fleet::new(Setting { limits, load_percent, ..SETTING }, seed);
        for _ in 0..1000 {
            fleet.step();
            prop_assert!(fleet.used().concurrency <= concurrency.into());
        }
        prop_assert!(fleet.admitted() > 0);
    }
}

proptest! {
    #![proptest_config(config(2000, 43))]

    #[test]
    fn shares_add_up_to_the_limit_and_never_fall_when_it_rises(
        limit in 0..20_000_u32,
        rise in 0..20_000_u32,
        centres in 1..25_usize,
        class in "[a-z]{1,8}",
    ) {
        let class = ClassName::try_from(class).expect("a checked name");
        let centres: Vec<DataCentre> = (0..centres)
            .map(|centre| DataCentre::try_from(format!("dc{centre}")).expect("a checked name"))
            .collect();
        let shares = |limit: u32| -> Vec<Allowance> {
            let limits = LimitSet {
                concurrency: Some(limit),
                requests_per_second: Some(limit),
                tokens_per_minute: Some(limit.into()),
            };
            centres
                .iter()
                .map(|centre| base_share(&limits, &class, centre, &centres))
                .collect()
        };
        let (low, high) = (shares(limit), shares(limit + rise));
        let sum: Allowance = low.iter().copied().collect();
        let limit = u64::from(limit);
        prop_assert_eq!(sum, Allowance { concurrency: limit, requests: limit, tokens: limit });
        prop_assert!(low.iter().zip(&high).all(|(low, high)| high.covers(*low)));
    }
}

/// Returns the number of requests admitted in 10 s under constant load.
fn admitted_in_ten_seconds(limits: LimitSet) -> usize {
    let setting = Setting { limits, ..SETTING };
    let mut fleet = Fleet::new(setting, 7);
    fleet.warm_up();
    let before = fleet.admitted();
    for _ in 0..10_000 / SETTING.step_ms {
        fleet.step();
    }
    fleet.admitted() - before
}

#[test]
fn saturated_load_is_admitted_at_nearly_the_limit() {
    let limits = LimitSet {
        requests_per_second: Some(30),
        ..LimitSet::default()
    };
    let admitted = admitted_in_ten_seconds(limits);
    assert!((200..=330).contains(&admitted), "{admitted} of 300");
}
