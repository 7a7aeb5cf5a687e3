//! Rotation of heartbeats through the peers.

use {
    poplargapd::members::PeerRotation,
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

const INTERVAL: Duration = Duration::from_millis(250);
const SUSPECT: Duration = Duration::from_secs(1);

fn peers(count: u16) -> Vec<SocketAddr> {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    (1..=count).map(address).collect()
}

#[test]
fn few_peers_get_every_heartbeat() {
    let peers = peers(5);
    let mut rotation = PeerRotation::default();
    for _ in 0..3 {
        assert_eq!(rotation.next(&peers), peers);
    }
    assert_eq!(
        PeerRotation::suspect_timeout(INTERVAL, SUSPECT, peers.len()),
        SUSPECT
    );
}

#[test]
fn many_peers_get_one_heartbeat_a_round() {
    let peers = peers(18);
    let mut rotation = PeerRotation::default();
    let round: Vec<Vec<SocketAddr>> = (0..4).map(|_| rotation.next(&peers)).collect();
    assert!(round.iter().all(|due| due.len() <= 5));
    let reached: BTreeSet<SocketAddr> = round.iter().flatten().copied().collect();
    assert_eq!(round.iter().map(Vec::len).sum::<usize>(), peers.len());
    assert_eq!(reached.len(), peers.len());
    let suspect = PeerRotation::suspect_timeout(INTERVAL, SUSPECT, peers.len());
    assert_eq!(suspect, Duration::from_secs(3));
}

#[test]
fn no_peers_give_no_addresses() {
    assert!(PeerRotation::default().next(&[]).is_empty());
}
