use {
    crate::at,
    poplargap_core::forward::ServiceBudget,
    std::{collections::VecDeque, time::Duration},
};

const DAEMONS: usize = 6;
const RATIO: f64 = 0.2;
const HEADROOM_RETRIES: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Every request of an unhealthy service fails once, and all daemons retry as often as allowed.
#[test]
fn uncoordinated_daemons_stay_within_the_fleets_budget() {
    let mut budgets: Vec<ServiceBudget> = (0..DAEMONS)
        .map(|_| ServiceBudget::new(RATIO, WINDOW))
        .collect();
    let mut window: VecDeque<(u64, bool)> = VecDeque::new();
    for ms in (0..40_000).step_by(5) {
        let now = at(ms);
        // Five sixths of the requests reach two of the daemons, as a hash of few callers may do.
        let daemon = if ms % 3 == 0 {
            (ms as usize / 5) % DAEMONS
        } else {
            ms as usize % 2
        };
        let budget = &mut budgets[daemon];
        budget.count_request(now);
        let retried = budget.take_retry(now);
        window.push_back((ms, retried));
        while window.front().is_some_and(|(first, _)| first + 10_000 < ms) {
            window.pop_front();
        }
        let spent = window.iter().filter(|(_, retried)| *retried).count() as f64;
        assert!(
            spent <= RATIO * window.len() as f64 + HEADROOM_RETRIES,
            "at {ms} ms"
        );
    }
}

#[test]
fn daemon_without_requests_has_a_few_retries() {
    let mut budget = ServiceBudget::new(RATIO, WINDOW);
    assert!(budget.take_retry(at(0)));
    assert!(budget.take_retry(at(1)));
    assert!(!budget.take_retry(at(2)));
    assert!(budget.take_retry(at(12_000)));
}
