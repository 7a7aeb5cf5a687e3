//! Tests of the order in which a daemon reads the values that others leave out.

use {
    poplargap_core::instant::MonotonicInstant,
    poplargap_forward::{OmittedValues, ReadVerdict, ValueKind, ValueRead},
    poplargap_store::{StoreEra, StoreRevision},
    proptest::{collection::vec, prop_assert, proptest, sample::select},
    std::time::Duration,
};

/// Pause between two reads of a kind, a third of the time in which a change has to take effect.
const PAUSE: Duration = Duration::from_millis(667);

/// Time for which copies that may be old are read.
const STALE_TIME: Duration = Duration::from_millis(450);

/// Longest read of the store.
const READ_MS: u64 = 800;

/// Pause after a copy that was too old.
const STALE_PAUSE_MS: u64 = 150;

const KINDS: [ValueKind; 5] = [
    ValueKind::Routes,
    ValueKind::Evacuation,
    ValueKind::Replica,
    ValueKind::Peer,
    ValueKind::Evidence,
];

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), number)
}

fn begin(values: &mut OmittedValues, ms: u64) -> Option<ValueRead> {
    values.begin_read(at(ms), STALE_TIME)
}

fn finish(
    values: &mut OmittedValues,
    read: &ValueRead,
    found: Option<u64>,
    ms: u64,
) -> ReadVerdict {
    values.finish_read(read, found.map(revision), at(ms), at(ms) + PAUSE)
}

/// The reports of 15 crashes, in the order of their keys before the configuration.
fn reports(values: &mut OmittedValues) {
    for number in 1..=15 {
        let key = format!("crash-reports/{number:02}");
        values.insert(ValueKind::Evidence, key, revision(number), at(0));
    }
}

// Reports were read in the order of their keys, one in a pause, and the configuration after them.
#[test]
fn configuration_is_read_after_fifteen_reports() {
    let mut values = OmittedValues::default();
    reports(&mut values);
    let report = begin(&mut values, 0).expect("a report is due");
    assert_eq!(report.key, "crash-reports/01");
    values.insert(
        ValueKind::Routes,
        "op/config".to_owned(),
        revision(20),
        at(10),
    );
    let read = begin(&mut values, 10).expect("the configuration is due");
    assert_eq!(read.kind, ValueKind::Routes);
    assert_eq!(
        begin(&mut values, 10),
        None,
        "one value of a kind at a time"
    );
    assert_eq!(
        finish(&mut values, &read, Some(20), 14),
        ReadVerdict::Current(Duration::from_millis(4))
    );
    finish(&mut values, &report, Some(1), 20);
    assert_eq!(values.wait(at(20)), Some(PAUSE), "the next report");
}

// The pause after a report held up the configuration that came in it.
#[test]
fn pause_after_a_report_delays_the_configuration() {
    let mut values = OmittedValues::default();
    reports(&mut values);
    let report = begin(&mut values, 0).expect("a report is due");
    finish(&mut values, &report, Some(1), 5);
    values.insert(
        ValueKind::Routes,
        "op/config".to_owned(),
        revision(20),
        at(6),
    );
    let read = begin(&mut values, 6).expect("the configuration is due");
    assert_eq!(read.key, "op/config");
}

#[test]
fn most_urgent_kind_is_read_first() {
    let mut values = OmittedValues::default();
    for kind in KINDS.into_iter().rev() {
        values.insert(kind, format!("{kind:?}"), revision(1), at(0));
    }
    let order: Vec<ValueKind> = std::iter::from_fn(|| begin(&mut values, 0))
        .map(|read| read.kind)
        .collect();
    assert_eq!(order, KINDS);
}

// A key that changes again and again kept those after it from being read.
#[test]
fn value_that_changes_all_the_time_keeps_others_of_its_kind_waiting() {
    let mut values = OmittedValues::default();
    values.insert(
        ValueKind::Replica,
        "servers/a".to_owned(),
        revision(1),
        at(0),
    );
    values.insert(
        ValueKind::Replica,
        "servers/b".to_owned(),
        revision(2),
        at(0),
    );
    let read = begin(&mut values, 0).expect("a value is due");
    assert_eq!(read.key, "servers/a");
    finish(&mut values, &read, Some(1), 1);
    values.insert(
        ValueKind::Replica,
        "servers/a".to_owned(),
        revision(3),
        at(2),
    );
    let read = begin(&mut values, 700).expect("a value is due");
    assert_eq!(read.key, "servers/b");
}

// A value that was changed while it was read would have been taken for the changed one.
#[test]
fn change_during_a_read_is_read_again() {
    let key = || "op/config".to_owned();
    for found in [Some(5), None] {
        let mut values = OmittedValues::default();
        values.insert(ValueKind::Routes, key(), revision(5), at(0));
        let copy = begin(&mut values, 0).expect("a copy is due");
        assert!(copy.may_be_stale);
        assert_eq!(finish(&mut values, &copy, Some(4), 1), ReadVerdict::Stale);
        let read = begin(&mut values, 500).expect("the value is due");
        assert!(!read.may_be_stale);
        values.insert(ValueKind::Routes, key(), revision(6), at(501));
        assert_eq!(finish(&mut values, &read, found, 502), ReadVerdict::Stale);
        let read = begin(&mut values, 700).expect("the value is due again");
        let verdict = finish(&mut values, &read, Some(6), 701);
        assert_eq!(verdict, ReadVerdict::Current(Duration::from_millis(701)));
        assert_eq!(values.wait(at(701)), None);
    }
}

#[test]
fn value_of_an_earlier_era_is_not_taken() {
    let mut values = OmittedValues::default();
    values.insert(
        ValueKind::Routes,
        "op/config".to_owned(),
        revision(5),
        at(0),
    );
    let read = begin(&mut values, 0).expect("a copy is due");
    let other = StoreRevision::new(StoreEra::default().next(), 9);
    let verdict = values.finish_read(&read, Some(other), at(1), at(2));
    assert_eq!(verdict, ReadVerdict::Stale);
}

// Until the listing of a new era came, each daemon read a value of the old one again every 150 ms.
#[test]
fn values_of_an_earlier_era_are_read_again_and_again() {
    let mut values = OmittedValues::default();
    reports(&mut values);
    let read = begin(&mut values, 0).expect("a report is due");
    let next = StoreEra::default().next();
    values.retain_era(next);
    assert_eq!(begin(&mut values, 0), None);
    assert_eq!(values.wait(at(0)), None);
    let found = Some(StoreRevision::new(next, 1));
    let verdict = values.finish_read(&read, found, at(1), at(2));
    assert_eq!(verdict, ReadVerdict::Unneeded);
    assert_eq!(begin(&mut values, 1_000), None);
}

// While the store refused a daemon, it asked for a report as often as for a configuration beside it.
#[test]
fn report_is_asked_for_as_often_as_a_configuration() {
    let retry = Duration::from_millis(250);
    let mut values = OmittedValues::default();
    reports(&mut values);
    values.insert(
        ValueKind::Routes,
        "op/config".to_owned(),
        revision(20),
        at(0),
    );
    let routes = begin(&mut values, 0).expect("the configuration is due");
    let report = begin(&mut values, 0).expect("a report is due");
    assert_eq!(values.fail_read(&routes, at(1), retry, PAUSE), retry);
    assert_eq!(
        values.fail_read(&report, at(1), retry, PAUSE),
        retry + PAUSE
    );
    let again = begin(&mut values, 251).expect("the configuration is due again");
    assert_eq!(again.key, "op/config");
    assert_eq!(begin(&mut values, 900), None);
    let report = begin(&mut values, 918).expect("the report is due again");
    assert_eq!(report.kind, ValueKind::Evidence);
}

// Whatever else is to be read, the read of a configuration begins as soon as the last one has had its pause.
proptest! {
    #[test]
    fn configuration_waits_for_itself_alone(
        inserts in vec((0_u64..4_000, select(KINDS.to_vec()), 0_u8..6), 1..120),
        lengths in vec(1..READ_MS, 1..40),
    ) {
        let mut values = OmittedValues::default();
        let mut running: Vec<(u64, ValueRead)> = Vec::new();
        let mut lengths = lengths.into_iter().cycle();
        let mut inserts = inserts;
        inserts.sort_by_key(|(ms, ..)| *ms);
        let mut changed: Option<u64> = None;
        let mut number = 0;
        for ms in 0..8_000 {
            for (_, kind, key) in inserts.iter().filter(|(at_ms, ..)| *at_ms == ms) {
                number += 1;
                let is_routes = *kind == ValueKind::Routes;
                let key = if is_routes { "op/config".to_owned() } else { format!("{kind:?}/{key}") };
                values.insert(*kind, key, revision(number), at(ms));
                if is_routes {
                    changed.get_or_insert(ms);
                }
            }
            let (ended, left) = running.into_iter().partition(|(end, _)| *end <= ms);
            running = left;
            for (_, read) in ended {
                let verdict = finish(&mut values, &read, Some(number), ms);
                if read.kind == ValueKind::Routes && matches!(verdict, ReadVerdict::Current(_)) {
                    changed = None;
                }
            }
            while let Some(read) = begin(&mut values, ms) {
                running.push((ms + lengths.next().expect("it cycles"), read));
            }
            // A read that runs, the pause after it, and a read of its own.
            let limit = 2 * READ_MS + STALE_PAUSE_MS + 667;
            prop_assert!(changed.is_none_or(|since| ms - since <= limit), "changed at {changed:?}, now {ms}");
        }
    }
}
