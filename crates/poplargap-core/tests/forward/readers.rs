use {
    crate::at,
    poplargap_core::forward::{PeerEntry, PeerView, ReadSource, ReaderRule},
    proptest::{prop_assert, prop_assert_eq, proptest},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

fn address(number: u8) -> SocketAddr {
    ([10, 1, 0, number], 7_200).into()
}

fn entries(daemons: &[u8]) -> Vec<PeerEntry> {
    let entry = |number: &u8| PeerEntry {
        address: address(*number),
        data_centre: "ne1".into(),
    };
    daemons.iter().map(entry).collect()
}

/// Returns the rule of the daemon `own`, which sees the announcements of `daemons`.
fn rule(own: u8, daemons: &[u8]) -> ReaderRule {
    let mut rule = ReaderRule::new(address(own), "ne1");
    rule.update(&PeerView::new(&entries(daemons), address(own)));
    rule
}

fn readers(daemons: &[u8]) -> BTreeSet<SocketAddr> {
    let reads = |number: &&u8| rule(**number, daemons).source(at(0)) == ReadSource::StoreForOthers;
    let readers = daemons.iter().filter(reads);
    readers.map(|number| address(*number)).collect()
}

#[test]
fn daemons_of_a_small_data_centre_read_the_store_themselves() {
    for own in 1..=3 {
        assert_eq!(rule(own, &[1, 2, 3]).source(at(0)), ReadSource::Store);
    }
}

#[test]
fn daemons_of_other_data_centres_do_not_count() {
    let mut entries = entries(&[1, 2, 3, 4, 5]);
    for entry in &mut entries[2..] {
        entry.data_centre = "ne2".into();
    }
    let mut rule = ReaderRule::new(address(1), "ne1");
    rule.update(&PeerView::new(&entries, address(1)));
    assert_eq!(rule.source(at(0)), ReadSource::Store);
}

#[test]
fn failed_reader_is_replaced_by_the_other_and_then_by_the_store() {
    let daemons = [1, 2, 3, 4, 5, 6];
    let readers = readers(&daemons);
    let own = (1..=6).find(|number| !readers.contains(&address(*number)));
    let mut rule = rule(own.expect("two of six read"), &daemons);
    let first = rule.source(at(0)).reader().expect("a reader");
    let pause = rule.record_failure(first, at(0));
    let second = rule.source(at(0)).reader().expect("the other reader");
    assert_ne!(first, second);
    rule.record_failure(second, at(0));
    assert_eq!(rule.source(at(0)), ReadSource::Store);
    let after = at(0) + pause;
    assert_eq!(rule.source(after), ReadSource::Daemon(first));
    assert!(rule.record_failure(first, after) > pause);
    assert_eq!(rule.source(after), ReadSource::Daemon(second));
    rule.record_success(&first);
    assert_eq!(rule.source(after), ReadSource::Daemon(first));
}

#[test]
fn failed_read_of_the_store_is_followed_by_one_without_a_wait_and_then_by_a_reader() {
    let daemons: Vec<u8> = (1..=8).collect();
    let readers = readers(&daemons);
    let follower = daemons
        .iter()
        .find(|own| !readers.contains(&address(**own)));
    let mut rule = rule(*follower.expect("a follower"), &daemons);
    let wait = Duration::from_secs(2);
    assert_eq!(rule.store_wait(wait), wait);
    rule.record_store_read(false);
    assert_eq!(rule.source(at(0)), ReadSource::Store);
    assert_eq!(rule.store_wait(wait), Duration::ZERO);
    rule.record_store_read(false);
    assert!(rule.source(at(0)).reader().is_some());
    rule.record_store_read(true);
    assert!(rule.source(at(0)).reader().is_some());
    assert_eq!(rule.store_wait(wait), wait);
}

proptest! {
    /// Daemons with the same announcements agree on the readers, at most two read for the others,
    /// and nobody reads from a daemon that doesn't read the store.
    #[test]
    fn daemons_agree_on_the_readers(count in 4_u8..60) {
        let daemons: Vec<u8> = (1..=count).collect();
        let readers = readers(&daemons);
        prop_assert_eq!(readers.len(), 2);
        for own in &daemons {
            match rule(*own, &daemons).source(at(0)) {
                ReadSource::Daemon(reader) => prop_assert!(readers.contains(&reader)),
                ReadSource::StoreForOthers => prop_assert!(readers.contains(&address(*own))),
                ReadSource::Store => prop_assert!(false, "every daemon has a reader"),
            }
        }
    }

    /// The loss of one daemon moves at most one of the two readers.
    #[test]
    fn loss_of_a_daemon_keeps_the_other_readers(count in 5_u8..60, lost in 0_usize..60) {
        let daemons: Vec<u8> = (1..=count).collect();
        let mut left = daemons.clone();
        let lost = left.remove(lost % daemons.len());
        let before = readers(&daemons);
        let kept = before.iter().filter(|reader| **reader != address(lost)).count();
        prop_assert!(before.intersection(&readers(&left)).count() >= kept);
    }
}
