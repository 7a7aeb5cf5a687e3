//! Tests of a shard owner: load bound, unavailable upstreams, chat affinity, split into shards.

use {
    poplargap_core::{
        catalogue::{
            BucketTable, FencingCheck, LoadMultiple, PoolEntry, PoolKind, UpstreamEntry,
            UpstreamState,
        },
        instant::MonotonicInstant,
        name::UpstreamName,
        owner::{AffinityPolicy, PlaceRefusal, PlaceRequest, PoolLoad, ShardOwner},
        shard::{self, PoolShard, ShardId},
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        num::NonZeroUsize,
        sync::Arc,
        time::Duration,
    },
};

const UPSTREAMS: u8 = 6;
const SLOTS: u32 = 5;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn name(number: u8) -> UpstreamName {
    format!("curve-{number:03}")
        .parse()
        .expect("a checked name")
}

fn entry(number: u8, state: UpstreamState) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        adapters: Vec::new(),
        address: SocketAddr::from(([127, 0, 0, 1], 2_000 + u16::from(number))),
        data_centre: "ne1".parse().expect("a checked name"),
        fencing: FencingCheck::Checked,
        model_version: None,
        name: name(number),
        pool: "curve".parse().expect("a checked name"),
        role: None,
        state,
    })
}

fn pool(multiple: f64) -> Arc<PoolEntry> {
    Arc::new(PoolEntry {
        kind: PoolKind::Model,
        loads_at_once: None,
        multiple: LoadMultiple::try_from(multiple).expect("the multiple is in range"),
        name: "curve".parse().expect("a checked name"),
        queue: 8,
        shard_size: 32,
        slots: SLOTS,
    })
}

fn shard_of(states: &BTreeMap<u8, UpstreamState>) -> PoolShard {
    PoolShard {
        id: ShardId {
            data_centre: "ne1".parse().expect("a checked name"),
            number: 0,
            pool: "curve".parse().expect("a checked name"),
        },
        upstreams: states
            .iter()
            .map(|(number, state)| entry(*number, *state))
            .collect(),
    }
}

fn policy() -> AffinityPolicy {
    AffinityPolicy::new(NonZeroUsize::new(64).expect("64 is not zero"))
}

fn request(key: u8, avoid: Vec<UpstreamName>) -> PlaceRequest {
    PlaceRequest {
        avoid,
        hint: None,
        key: format!("w01/chat-{key}"),
    }
}

/// One event at a shard owner.
#[derive(Clone, Debug)]
enum OwnerStep {
    Inherit(u8, u64),
    Drain(u8),
    End(usize),
    Fail(u8),
    Residual(u8, u64),
    Leave(u8),
    Place { avoid: Option<u8>, key: u8 },
    Remove(u8),
    Serve(u8),
    Wait(u64),
}

fn owner_step() -> impl Strategy<Value = OwnerStep> {
    let upstream = || 0..UPSTREAMS;
    let place = (proptest::option::weighted(0.2, upstream()), 0_u8..12)
        .prop_map(|(avoid, key)| OwnerStep::Place { avoid, key });
    prop_oneof![
        10 => place,
        5 => any::<usize>().prop_map(OwnerStep::End),
        1 => (upstream(), 0_u64..6).prop_map(|(number, load)| OwnerStep::Inherit(number, load)),
        1 => upstream().prop_map(OwnerStep::Drain),
        1 => upstream().prop_map(OwnerStep::Fail),
        1 => (upstream(), 0_u64..4).prop_map(|(number, load)| OwnerStep::Residual(number, load)),
        1 => upstream().prop_map(OwnerStep::Leave),
        1 => upstream().prop_map(OwnerStep::Remove),
        2 => upstream().prop_map(OwnerStep::Serve),
        2 => (0_u64..1_000).prop_map(OwnerStep::Wait),
    ]
}

proptest! {
    #![proptest_config(config(4))]

    #[test]
    fn owner_keeps_its_bound_and_its_chats(
        multiple in 1.0_f64..3.0,
        others in (0_u64..20, 0_u64..8),
        steps in vec(owner_step(), 0..80),
    ) {
        let others = PoolLoad { in_flight: others.0, upstreams: others.1 };
        let serving = |number| (number, UpstreamState::Serving);
        let mut states: BTreeMap<u8, UpstreamState> = (0..UPSTREAMS).map(serving).collect();
        let mut owner = ShardOwner::new(1, pool(multiple), &shard_of(&states));
        let mut policy = policy();
        let mut leaving: BTreeSet<UpstreamName> = BTreeSet::new();
        let mut last: BTreeMap<u8, UpstreamName> = BTreeMap::new();
        let mut running: Vec<UpstreamName> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                OwnerStep::Inherit(number, load) => {
                    owner.inherit_loads(&[(name(number), load)].into_iter().collect());
                }
                OwnerStep::Drain(number) => {
                    states.insert(number, UpstreamState::Draining);
                }
                OwnerStep::End(position) if !running.is_empty() => {
                    owner.release(&running.swap_remove(position % running.len()));
                }
                OwnerStep::End(_) => {}
                OwnerStep::Fail(number) => {
                    if let Some(load) = owner.load_mut(&name(number)) {
                        load.health.record_failure(at(now));
                    }
                }
                OwnerStep::Residual(number, load) => {
                    owner.set_residuals(|other| if *other == name(number) { load } else { 0 });
                }
                OwnerStep::Leave(number) => {
                    leaving.insert(name(number));
                }
                OwnerStep::Remove(number) => {
                    states.remove(&number);
                }
                OwnerStep::Serve(number) => {
                    states.insert(number, UpstreamState::Serving);
                    leaving.remove(&name(number));
                }
                OwnerStep::Wait(elapsed) => now += elapsed,
                OwnerStep::Place { avoid, key } => {
                    let avoid: Vec<UpstreamName> = avoid.into_iter().map(name).collect();
                    let loads: BTreeMap<UpstreamName, (bool, u64)> = owner
                        .loads()
                        .map(|load| (load.entry.name.clone(), (load.health.is_healthy(at(now)), load.total())))
                        .collect();
                    let is_available = |upstream: &UpstreamName, healthy: bool| {
                        let serves = states.iter().any(|(number, state)| {
                            name(*number) == *upstream && *state == UpstreamState::Serving
                        });
                        healthy && serves && !leaving.contains(upstream)
                    };
                    let available = loads.iter().filter(|(other, (healthy, _))| is_available(other, *healthy)).count();
                    let carried: u64 = loads.values().map(|(_, total)| total).sum();
                    let mean = (carried + others.in_flight + 1) as f64
                        / (available as u64 + others.upstreams).max(1) as f64;
                    let bound = ((multiple * mean).ceil() as u64).max(1);
                    let has_room = |upstream: &UpstreamName| {
                        let (healthy, total) = loads[upstream];
                        is_available(upstream, healthy)
                            && !avoid.contains(upstream)
                            && total < bound.min(u64::from(SLOTS))
                    };
                    let request = request(key, avoid.clone());
                    match owner.place(&mut policy, &request, others, 7, at(now)) {
                        Ok(chosen) => {
                            prop_assert!(has_room(&chosen), "{} has no room", chosen);
                            if let Some(former) = last.get(&key)
                                && loads.contains_key(former)
                                && has_room(former)
                            {
                                prop_assert_eq!(&chosen, former, "the chat was moved although its upstream had room");
                            }
                            last.insert(key, chosen.clone());
                            running.push(chosen);
                        }
                        Err(refusal) => {
                            prop_assert!(!loads.keys().any(has_room), "there was room");
                            let any_available = loads.iter().any(|(other, (healthy, _))| {
                                is_available(other, *healthy) && !avoid.contains(other)
                            });
                            let expected = if any_available { PlaceRefusal::Full } else { PlaceRefusal::NoUpstream };
                            prop_assert_eq!(refusal, expected);
                        }
                    }
                }
            }
            owner.set_upstreams(&shard_of(&states));
            owner.set_leaving(|other| leaving.contains(other));
            prop_assert_eq!(owner.in_flight(), running.len() as u64);
        }
    }

    #[test]
    fn every_upstream_is_in_one_shard(count in 0_u8..120, size in 1_u32..40) {
        let upstreams: Vec<_> = (0..count).map(|n| entry(n, UpstreamState::Serving)).collect();
        let shards = split(&upstreams, size);
        let mut names: Vec<&UpstreamName> = shards
            .iter()
            .flat_map(|shard| &shard.upstreams)
            .map(|upstream| &upstream.name)
            .collect();
        names.sort();
        let expected: Vec<&UpstreamName> = upstreams.iter().map(|entry| &entry.name).collect();
        prop_assert_eq!(names, expected);
        let most = usize::from(count).div_ceil(size as usize);
        prop_assert!(shards.iter().all(|shard| (shard.id.number as usize) < most));
    }

    /// Without a new shard no other upstream moves; with one, upstreams move only to the new shard.
    #[test]
    fn one_upstream_more_moves_others_only_to_the_new_shard(count in 1_u8..120, size in 1_u32..40) {
        let upstreams: Vec<_> = (0..=count).map(|n| entry(n, UpstreamState::Serving)).collect();
        let before = numbers(&split(&upstreams[..usize::from(count)], size));
        let after = numbers(&split(&upstreams, size));
        let new = u32::from(count).div_ceil(size);
        let grows = u32::from(count + 1).div_ceil(size) > new;
        for (upstream, number) in before {
            let moved = after[&upstream];
            prop_assert!(moved == number || (grows && moved == new), "{upstream} moved");
        }
    }

    #[test]
    fn bucket_table_never_goes_back(changes in vec((0_u8..3, 0_u64..20, any::<bool>()), 0..40)) {
        let mut table = BucketTable::default();
        let mut newest: BTreeMap<String, u64> = BTreeMap::new();
        let mut complete = 0;
        for (number, revision, readable) in changes {
            let key = format!("poplargap/catalogue/{number:04x}");
            let value = if readable { "{\"entries\":{}}" } else { "{\"entries\":" };
            let is_new = newest.get(&key).is_none_or(|known| *known < revision);
            match table.accept(&key, revision, value) {
                Ok(changed) => prop_assert_eq!(changed, is_new),
                Err(_) => prop_assert!(!readable && is_new),
            }
            if readable && is_new {
                newest.insert(key, revision);
            }
            table.complete(revision);
            complete = complete.max(revision);
            prop_assert_eq!(table.revision(), complete);
            for (key, bucket) in table.since(0, None) {
                prop_assert_eq!(Some(&bucket.revision), newest.get(key));
            }
        }
    }
}

fn split(upstreams: &[Arc<UpstreamEntry>], size: u32) -> Vec<PoolShard> {
    let pool = "curve".parse().expect("a checked name");
    let data_centre = "ne1".parse().expect("a checked name");
    shard::split(&pool, &data_centre, upstreams, size)
}

fn numbers(shards: &[PoolShard]) -> BTreeMap<UpstreamName, u32> {
    let of_shard = |shard: &PoolShard| {
        let number = shard.id.number;
        let names = shard.upstreams.iter().map(|entry| entry.name.clone());
        names.map(move |name| (name, number)).collect::<Vec<_>>()
    };
    shards.iter().flat_map(of_shard).collect()
}

/// Adding one shard moves an upstream with a probability of one in the new number of shards.
#[test]
fn one_shard_more_moves_few_upstreams() {
    let upstreams: Vec<_> = (0..=160)
        .map(|n| entry(n, UpstreamState::Serving))
        .collect();
    let before = numbers(&split(&upstreams[..160], 20));
    let after = numbers(&split(&upstreams, 20));
    let moved = before
        .iter()
        .filter(|(name, number)| after[*name] != **number)
        .count();
    // 160 / 9 are expected; twice that is more than four standard deviations higher.
    assert!(moved <= 2 * 160 / 9, "{moved} of 160 upstreams moved");
}
