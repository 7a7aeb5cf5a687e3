//! Tests of the member table against a model.

use {
    poplargap_core::{
        instant::MonotonicInstant,
        membership::{HeartbeatEffect, MemberReport, MemberState, MemberTable},
        name::DaemonName,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const SUSPECT_MS: u64 = 1_000;
const TICK_MS_MAX: u64 = SUSPECT_MS / 2;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn name(number: u8) -> DaemonName {
    format!("ne1-{number:02}").parse().expect("a checked name")
}

fn report(number: u8, incarnation: u64, sequence: u64) -> MemberReport {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(number)));
    MemberReport {
        incarnation,
        name: name(number),
        peers: address,
        relay: address,
        revision: 1,
        sequence,
        state: MemberState::Ready,
    }
}

fn table() -> MemberTable {
    MemberTable::new(report(0, 1, 1), Duration::from_millis(SUSPECT_MS), at(0))
}

fn known(table: &MemberTable) -> Vec<DaemonName> {
    let mut names: Vec<DaemonName> = table.peers().map(|peer| peer.name.clone()).collect();
    names.sort();
    names
}

/// One operation on the table.
#[derive(Clone, Debug)]
enum TableStep {
    Expire(u64),
    Heartbeat {
        incarnation: u64,
        number: u8,
        sequence: u64,
    },
    Pause(u64),
}

fn table_step() -> impl Strategy<Value = TableStep> {
    let heartbeat = (1_u64..4, 0_u8..4, 0_u64..12).prop_map(|(incarnation, number, sequence)| {
        TableStep::Heartbeat {
            incarnation,
            number,
            sequence,
        }
    });
    prop_oneof![
        4 => heartbeat,
        4 => (0..=TICK_MS_MAX).prop_map(TableStep::Expire),
        1 => (TICK_MS_MAX + 1..60_000).prop_map(TableStep::Pause),
    ]
}

/// Expected state of one peer in the table.
#[derive(Clone, Copy, Debug)]
struct PeerModel {
    received_ms: u64,
    order: (u64, u64),
}

proptest! {
    #![proptest_config(config(3))]

    #[test]
    fn table_follows_its_model(steps in vec(table_step(), 0..60)) {
        let mut table = table();
        let mut peers: BTreeMap<u8, PeerModel> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match step {
                TableStep::Heartbeat { incarnation, number, sequence } => {
                    let effect = table.record_heartbeat(report(number, incarnation, sequence), at(now));
                    let order = (incarnation, sequence);
                    let former = peers.get(&number).map(|peer| peer.order);
                    let is_stale = number == 0 || former.is_some_and(|former| order <= former);
                    let is_restart = former.is_none_or(|former| former.0 != incarnation);
                    let expected = match (is_stale, is_restart) {
                        (true, _) => HeartbeatEffect::Stale,
                        (false, true) => HeartbeatEffect::Changed,
                        (false, false) => HeartbeatEffect::Refreshed,
                    };
                    prop_assert_eq!(effect, expected);
                    if effect != HeartbeatEffect::Stale {
                        peers.insert(number, PeerModel { received_ms: now, order });
                    }
                }
                TableStep::Expire(elapsed) => {
                    now += elapsed;
                    let is_dead = |peer: &PeerModel| now - peer.received_ms > SUSPECT_MS;
                    let dead: Vec<DaemonName> = peers
                        .iter()
                        .filter(|(_, peer)| is_dead(peer))
                        .map(|(number, _)| name(*number))
                        .collect();
                    prop_assert_eq!(table.expire(at(now)), dead);
                    peers.retain(|_, peer| !is_dead(peer));
                }
                TableStep::Pause(elapsed) => {
                    now += elapsed;
                    prop_assert_eq!(table.expire(at(now)), Vec::new(), "no member expires after a pause");
                    for peer in peers.values_mut() {
                        peer.received_ms += elapsed;
                    }
                }
            }
            let expected: Vec<DaemonName> = peers.keys().map(|number| name(*number)).collect();
            prop_assert_eq!(known(&table), expected);
            prop_assert_eq!(table.ready().len(), peers.len() + 1);
        }
    }
}

#[test]
fn late_heartbeat_of_a_former_incarnation_is_stale() {
    let mut table = table();
    assert_eq!(
        table.record_heartbeat(report(1, 5, 9), at(0)),
        HeartbeatEffect::Changed
    );
    assert_eq!(
        table.record_heartbeat(report(1, 6, 1), at(1)),
        HeartbeatEffect::Changed
    );
    assert_eq!(
        table.record_heartbeat(report(1, 5, 10), at(2)),
        HeartbeatEffect::Stale
    );
    let peer = table.peers().next().expect("the peer is known");
    assert_eq!((peer.incarnation, peer.sequence), (6, 1));
}

#[test]
fn own_heartbeat_is_stale() {
    let mut table = table();
    assert_eq!(
        table.record_heartbeat(report(0, 9, 9), at(0)),
        HeartbeatEffect::Stale
    );
    assert_eq!(table.own().incarnation, 1);
}
