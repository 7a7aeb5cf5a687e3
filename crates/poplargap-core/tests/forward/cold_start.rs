use {
    poplargap_core::forward::{ColdStart, hold_time},
    std::time::Duration,
};

fn start(age_ms: u64, held: usize, left_ms: u64) -> ColdStart {
    ColdStart {
        held,
        process_age: Duration::from_millis(age_ms),
        time_left: Duration::from_millis(left_ms),
    }
}

#[test]
fn request_that_arrives_during_the_first_read_is_held_for_part_of_its_time() {
    let hold = |start| hold_time(start).map(|hold| hold.as_millis());
    assert_eq!(hold(start(50, 0, 10_000)), Some(1_000));
    assert_eq!(hold(start(50, 0, 600)), Some(300));
}

#[test]
fn request_is_refused_at_once_when_the_first_read_is_late_or_many_are_held() {
    assert_eq!(hold_time(start(3_000, 0, 10_000)), None);
    assert_eq!(hold_time(start(50, 512, 10_000)), None);
}
