//! Tests of single loans between lenders and borrowers.

use {
    poplargap_core::{
        catalogue::LimitSet,
        instant::MonotonicInstant,
        limit::{
            Admission, Allowance, LOAN_MARGIN, LOAN_TTL, LenderTenure, LimitBorrower, LimitLender,
            LoanDigest, LoanHolder, LoanReply, LoanRequest, LoanStamp, Permit, REQUEST_WINDOW,
            TAKEOVER_WAIT, TOKEN_WINDOW, UsageWindow,
        },
        name::{ClassName, DataCentre},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);

const ONE: LimitSet = LimitSet {
    concurrency: Some(1),
    requests_per_second: None,
    tokens_per_minute: None,
};

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

/// Returns a time at which the records of a lender opened at time 0 are complete.
fn steady() -> MonotonicInstant {
    at(100_000)
}

fn class() -> ClassName {
    "notes".try_into().expect("a checked name")
}

fn centre(name: &str) -> DataCentre {
    name.try_into().expect("a checked name")
}

fn holder(daemon: &str, of: Option<&str>) -> LoanHolder {
    LoanHolder {
        centre: of.map(centre),
        daemon: daemon.try_into().expect("a checked name"),
        incarnation: 1,
    }
}

fn borrower(daemon: &str, limits: LimitSet) -> LimitBorrower {
    LimitBorrower::new(class(), holder(daemon, None), limits)
}

fn lender(
    name: &str,
    limits: LimitSet,
    remote_lenders: &[&str],
    opened: MonotonicInstant,
) -> LimitLender {
    let mut lender = LimitLender::open(class(), holder("lender", Some(name)), opened);
    let share = if remote_lenders.is_empty() {
        Allowance::of_limits(&limits)
    } else {
        Allowance::ZERO
    };
    let remote_lenders = remote_lenders.iter().map(|name| centre(name)).collect();
    lender.set_share(limits, share, remote_lenders);
    lender
}

fn answer(lender: &mut LimitLender, request: &LoanRequest, now: MonotonicInstant) -> LoanReply {
    lender.answer(request, LenderTenure::new(now + MS), now)
}

fn request(borrower: &mut LimitBorrower, tokens: u64, now: MonotonicInstant) -> LoanRequest {
    let Admission::Ask(request) = borrower.admit(tokens, now) else {
        panic!("the borrower needs a loan");
    };
    request
}

/// Tries to admit a request, with at most one loan request to the lender.
fn admit(
    borrower: &mut LimitBorrower,
    lender: &mut LimitLender,
    tokens: u64,
    now: MonotonicInstant,
) -> Option<Permit> {
    let mut admission = borrower.admit(tokens, now);
    if let Admission::Ask(request) = admission {
        borrower.accept_loan_reply(&answer(lender, &request, now), now);
        admission = borrower.admit(tokens, now);
    }
    match admission {
        Admission::Granted(permit) => Some(permit),
        _ => None,
    }
}

fn renew(borrower: &mut LimitBorrower, lender: &mut LimitLender, now: MonotonicInstant) -> bool {
    let Some(request) = borrower.due_request(now) else {
        return false;
    };
    borrower.accept_loan_reply(&answer(lender, &request, now), now);
    true
}

#[test]
fn new_lender_lends_when_the_last_loan_and_its_window_have_ended() {
    let quantities = [
        (ONE, TAKEOVER_WAIT),
        (
            LimitSet {
                requests_per_second: Some(1),
                ..LimitSet::default()
            },
            TAKEOVER_WAIT + REQUEST_WINDOW,
        ),
        (
            LimitSet {
                tokens_per_minute: Some(10),
                ..LimitSet::default()
            },
            TAKEOVER_WAIT + TOKEN_WINDOW,
        ),
    ];
    for (limits, wait) in quantities {
        let mut lender = lender("a", limits, &[], steady());
        let early = admit(
            &mut borrower("x", limits),
            &mut lender,
            10,
            steady() + wait - MS,
        );
        assert!(early.is_none(), "{limits:?}");
        let late = admit(&mut borrower("y", limits), &mut lender, 10, steady() + wait);
        assert!(late.is_some(), "{limits:?}");
    }
}

#[test]
fn borrowers_keep_their_loans_while_a_new_lender_waits() {
    let mut first = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let permit = admit(&mut daemon, &mut first, 1, steady()).expect("the slot is free");
    let mut second = lender("a", ONE, &[], steady() + MS);
    assert!(renew(
        &mut daemon,
        &mut second,
        steady() + Duration::from_secs(1)
    ));
    daemon.release(permit, 1, steady() + Duration::from_millis(1900));
    let again = daemon.admit(1, steady() + Duration::from_millis(2100));
    assert!(matches!(again, Admission::Granted(_)), "{again:?}");
    let now = steady() + TAKEOVER_WAIT + MS;
    assert!(admit(&mut borrower("y", ONE), &mut second, 1, now).is_none());
}

#[test]
fn lender_counts_a_loan_longer_than_the_borrower() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut silent = borrower("x", ONE);
    let loan_request = request(&mut silent, 1, steady());
    let answered = steady() + 300 * MS;
    let reply = answer(&mut lender, &loan_request, answered);
    silent.accept_loan_reply(&reply, answered + 100 * MS);
    assert_eq!(silent.held(steady() + LOAN_TTL - MS).concurrency, 1);
    assert_eq!(silent.held(steady() + LOAN_TTL).concurrency, 0);
    let ends = answered + LOAN_TTL + LOAN_MARGIN;
    assert!(admit(&mut borrower("y", ONE), &mut lender, 1, ends - MS).is_none());
    assert!(admit(&mut borrower("z", ONE), &mut lender, 1, ends).is_some());
}

#[test]
fn usage_of_an_expired_loan_counts_for_one_window() {
    let limits = LimitSet {
        requests_per_second: Some(3),
        ..LimitSet::default()
    };
    let mut lender = lender("a", limits, &[], at(0));
    let loan_request = request(&mut borrower("x", limits), 1, steady());
    answer(
        &mut lender,
        &LoanRequest {
            want: loan_request.want.max(Allowance {
                requests: 3,
                ..loan_request.want
            }),
            ..loan_request
        },
        steady(),
    );
    let ends = steady() + LOAN_TTL + LOAN_MARGIN + REQUEST_WINDOW;
    assert!(admit(&mut borrower("y", limits), &mut lender, 1, ends - MS).is_none());
    assert!(admit(&mut borrower("z", limits), &mut lender, 1, ends).is_some());
}

#[test]
fn reply_to_an_earlier_request_is_ignored() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let first = request(&mut daemon, 1, steady());
    let reply = answer(&mut lender, &first, steady());
    let later = steady() + Duration::from_secs(1);
    request(&mut daemon, 1, later);
    daemon.accept_loan_reply(&reply, later);
    assert_eq!(daemon.held(later), Allowance::ZERO);
}

#[test]
fn lost_reply_is_requested_again_before_the_timeout() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let loan_request = request(&mut daemon, 1, steady());
    let lost = answer(&mut lender, &loan_request, steady());
    daemon.loan_reply_lost(loan_request.sequence, steady());
    let now = steady() + 100 * MS;
    assert!(admit(&mut daemon, &mut lender, 1, now).is_some());
    daemon.accept_loan_reply(&lost, now);
    assert_eq!(daemon.held(steady() + LOAN_TTL).concurrency, 1);
}

#[test]
fn late_request_does_not_lower_what_is_counted() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let permit = admit(&mut daemon, &mut lender, 1, steady()).expect("the slot is free");
    daemon.release(permit, 1, steady());
    let delayed = daemon
        .due_request(steady())
        .expect("a scarce slot is returned");
    let now = steady() + Duration::from_secs(1);
    assert!(admit(&mut daemon, &mut lender, 1, now).is_some());
    answer(&mut lender, &delayed, now);
    assert!(admit(&mut borrower("y", ONE), &mut lender, 1, now).is_none());
}

#[test]
fn lender_without_tenure_refuses() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let loan_request = request(&mut daemon, 1, steady());
    let reply = lender.answer(&loan_request, LenderTenure::new(steady()), steady());
    daemon.accept_loan_reply(&reply, steady());
    assert_eq!(daemon.held(steady()), Allowance::ZERO);
    assert_eq!(lender.lent(steady()), Allowance::ZERO);
}

#[test]
fn slot_of_a_running_request_is_kept_by_renewal() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let permit = admit(&mut daemon, &mut lender, 1, steady()).expect("the slot is free");
    for step in 1..100 {
        let now = steady() + step * 100 * MS;
        renew(&mut daemon, &mut lender, now);
        assert_eq!(daemon.held(now).concurrency, 1);
        let mut other = borrower(&format!("y{step}"), ONE);
        assert!(admit(&mut other, &mut lender, 1, now).is_none());
    }
    let now = steady() + 9950 * MS;
    daemon.release(permit, 1, now);
    assert!(
        renew(&mut daemon, &mut lender, now),
        "a scarce slot is returned at once"
    );
    assert!(admit(&mut borrower("y", ONE), &mut lender, 1, now).is_some());
}

#[test]
fn joint_renewal_extends_a_loan_at_borrower_and_lender() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let loan_request = request(&mut daemon, 1, steady());
    daemon.accept_loan_reply(&answer(&mut lender, &loan_request, steady()), steady());
    let sent = steady() + 1500 * MS;
    let stamp = daemon.stamp(sent).expect("the loan is unexpired");
    assert_eq!(
        lender.stamp(&loan_request.holder, sent),
        Some(stamp.clone())
    );
    let scarce = lender.renew(&loan_request.holder, sent);
    daemon.renewed(&stamp, sent, scarce);
    assert_eq!(daemon.held(sent + LOAN_TTL - MS).concurrency, 1);
    assert_eq!(daemon.held(sent + LOAN_TTL).concurrency, 0);
    let ends = sent + LOAN_TTL + LOAN_MARGIN;
    assert!(admit(&mut borrower("y", ONE), &mut lender, 1, ends - MS).is_none());
    assert!(admit(&mut borrower("z", ONE), &mut lender, 1, ends).is_some());
}

#[test]
fn loans_that_differ_have_no_common_stamp() {
    let mut lender = lender("a", ONE, &[], at(0));
    let mut daemon = borrower("x", ONE);
    let permit = admit(&mut daemon, &mut lender, 1, steady()).expect("the slot is free");
    let old = daemon.stamp(steady()).expect("the loan is unexpired");
    daemon.release(permit, 1, steady());
    let lowered = daemon
        .due_request(steady())
        .expect("a scarce slot is returned");
    assert_eq!(daemon.stamp(steady()), None, "nothing is held");
    answer(&mut lender, &lowered, steady());
    assert_eq!(
        lender.stamp(&lowered.holder, steady()),
        None,
        "nothing is lent"
    );
    let now = steady() + Duration::from_secs(1);
    assert!(admit(&mut daemon, &mut lender, 1, now).is_some());
    assert_ne!(lender.stamp(&lowered.holder, now), Some(old.clone()));
    let digest = |stamp: Option<LoanStamp>| stamp.into_iter().collect::<LoanDigest>();
    let both = [daemon.stamp(now), lender.stamp(&lowered.holder, now)].map(digest);
    assert_eq!(both[0], both[1]);
    assert_ne!(both[0], digest(Some(old.clone())));
    daemon.renewed(&old, now + Duration::from_secs(1), true);
    assert_eq!(
        daemon.held(now + LOAN_TTL),
        Allowance::ZERO,
        "the old stamp renews nothing"
    );
}

#[test]
fn renewal_discards_unmet_demand() {
    let limits = LimitSet {
        concurrency: Some(2),
        ..LimitSet::default()
    };
    let mut lender = lender("a", limits, &[], at(0));
    let mut loan_request = request(&mut borrower("x", limits), 1, steady());
    loan_request.want.concurrency = 2;
    let share = Allowance {
        concurrency: 1,
        ..Allowance::ZERO
    };
    lender.set_share(limits, share, vec![centre("b")]);
    answer(&mut lender, &loan_request, steady());
    lender.renew(&loan_request.holder, steady());
    assert!(lender.ask_remote_lender(steady()).is_none());
}

#[test]
fn scarce_slots_are_returned_one_by_one() {
    let limits = LimitSet {
        concurrency: Some(2),
        ..LimitSet::default()
    };
    let mut lender = lender("a", limits, &[], at(0));
    let mut daemon = borrower("x", limits);
    let permit = admit(&mut daemon, &mut lender, 1, steady()).expect("two slots are free");
    let second = admit(&mut daemon, &mut lender, 1, steady()).expect("one slot is free");
    assert!(admit(&mut borrower("y", limits), &mut lender, 1, steady()).is_none());
    daemon.release(permit, 1, steady());
    renew(&mut daemon, &mut lender, steady());
    assert_eq!(daemon.held(steady()).concurrency, daemon.in_flight());
    assert!(admit(&mut borrower("z", limits), &mut lender, 1, steady()).is_some());
    daemon.release(second, 1, steady());
}

#[test]
fn idle_loan_is_kept_for_a_while_then_returned() {
    let limits = LimitSet {
        concurrency: Some(100),
        ..LimitSet::default()
    };
    let mut lender = lender("a", limits, &[], at(0));
    let mut daemon = borrower("x", limits);
    let permit = admit(&mut daemon, &mut lender, 1, steady()).expect("slots are free");
    daemon.release(permit, 1, steady());
    for second in 1..120 {
        let now = steady() + Duration::from_secs(second);
        renew(&mut daemon, &mut lender, now);
        let held = daemon.held(now).concurrency;
        assert!(second > 20 || held > 0, "returned after {second} s");
        assert!(second < 90 || held == 0, "kept for {second} s");
    }
}

#[test]
fn actual_tokens_replace_the_estimate() {
    let limits = LimitSet {
        tokens_per_minute: Some(100),
        ..LimitSet::default()
    };
    let mut lender = lender("a", limits, &[], at(0));
    let mut daemon = borrower("x", limits);
    let permit = admit(&mut daemon, &mut lender, 90, steady()).expect("tokens are free");
    let now = steady() + Duration::from_secs(1);
    assert!(admit(&mut daemon, &mut lender, 11, now).is_none());
    daemon.release(permit, 40, now);
    let now = now + Duration::from_secs(1);
    assert!(admit(&mut daemon, &mut lender, 60, now).is_some());
    let oversized = daemon.admit(101, now);
    assert!(matches!(oversized, Admission::Oversized), "{oversized:?}");
}

#[test]
fn limit_of_one_moves_to_the_data_centre_that_asks() {
    let mut lending = lender("a", ONE, &[], at(0));
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    let mut daemon = borrower("x", ONE);
    assert!(admit(&mut daemon, &mut borrowing, 1, steady()).is_none());
    let (from, loan_request) = borrowing
        .ask_remote_lender(steady())
        .expect("demand is open");
    assert_eq!(from, centre("a"));
    borrowing.accept_remote_reply(&from, &answer(&mut lending, &loan_request, steady()));
    let now = steady() + Duration::from_millis(800);
    let permit = admit(&mut daemon, &mut borrowing, 1, now);
    assert!(permit.is_some());
    let ends = steady() + LOAN_TTL;
    assert!(
        daemon.due_request(ends - MS).is_some(),
        "a renewal is due, but too late to extend the loan"
    );
    assert_eq!(daemon.held(ends - MS).concurrency, 1);
    assert_eq!(
        daemon.held(ends).concurrency,
        0,
        "the backed part has expired"
    );
    assert!(admit(&mut borrower("y", ONE), &mut lending, 1, ends).is_none());
    assert!(admit(&mut borrower("z", ONE), &mut lending, 1, ends + LOAN_MARGIN).is_some());
}

#[test]
fn borrowed_share_is_not_lent_to_a_third_data_centre() {
    let mut lending = lender("a", ONE, &[], at(0));
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    let mut third = lender("c", ONE, &["b"], at(0));
    admit(&mut borrower("x", ONE), &mut borrowing, 1, steady());
    let (from, loan_request) = borrowing
        .ask_remote_lender(steady())
        .expect("demand is open");
    borrowing.accept_remote_reply(&from, &answer(&mut lending, &loan_request, steady()));
    admit(&mut borrower("y", ONE), &mut third, 1, steady());
    let (from, loan_request) = third.ask_remote_lender(steady()).expect("demand is open");
    third.accept_remote_reply(&from, &answer(&mut borrowing, &loan_request, steady()));
    assert_eq!(borrowing.lent(steady()), Allowance::ZERO);
    assert!(admit(&mut borrower("z", ONE), &mut third, 1, steady()).is_none());
}

#[test]
fn usage_before_a_new_lender_does_not_free_what_it_borrows() {
    let limits = LimitSet {
        tokens_per_minute: Some(50),
        ..LimitSet::default()
    };
    let mut lending = lender("a", limits, &[], at(0));
    let mut restarted = lender("b", limits, &["a"], steady());
    restarted.set_share(limits, Allowance::of_limits(&limits), vec![centre("a")]);
    let mut loan_request = request(&mut borrower("x", limits), 20, steady());
    loan_request.used.tokens = 20;
    answer(&mut restarted, &loan_request, steady());
    let (from, loan_request) = restarted
        .ask_remote_lender(steady())
        .expect("demand is open");
    assert_eq!(loan_request.want.tokens, 20);
    restarted.accept_remote_reply(&from, &answer(&mut lending, &loan_request, steady()));
    assert!(admit(&mut borrower("y", limits), &mut restarted, 20, steady()).is_none());
}

#[test]
fn loan_is_counted_until_its_holder_knows_that_it_was_lowered() {
    let mut lending = lender("a", ONE, &[], at(0));
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    let mut remote = borrower("x", ONE);
    admit(&mut remote, &mut borrowing, 1, steady());
    let (from, loan_request) = borrowing
        .ask_remote_lender(steady())
        .expect("demand is open");
    borrowing.accept_remote_reply(&from, &answer(&mut lending, &loan_request, steady()));
    let now = steady() + Duration::from_secs(1);
    assert!(admit(&mut borrower("y", ONE), &mut lending, 1, now).is_none());
    let (_, renewal) = borrowing.ask_remote_lender(now).expect("a renewal is due");
    answer(&mut lending, &renewal, now);
    assert!(admit(&mut remote, &mut borrowing, 1, now).is_some());
    assert!(admit(&mut borrower("z", ONE), &mut lending, 1, now).is_none());
}

#[test]
fn committed_amount_is_counted_but_not_granted() {
    let mut restarted = lender("a", ONE, &[], steady());
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    admit(&mut borrower("x", ONE), &mut borrowing, 1, steady());
    let (from, mut request) = borrowing
        .ask_remote_lender(steady())
        .expect("demand is open");
    request.committed.concurrency = 1;
    borrowing.accept_remote_reply(&from, &answer(&mut restarted, &request, steady()));
    assert_eq!(restarted.lent(steady()).concurrency, 1);
    assert!(admit(&mut borrower("y", ONE), &mut borrowing, 1, steady()).is_none());
}

#[test]
fn lenders_do_not_pass_on_each_others_demand() {
    let mut lending = lender("a", ONE, &[], at(0));
    lending.set_share(ONE, Allowance::ZERO, vec![centre("b")]);
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    admit(&mut borrower("x", ONE), &mut borrowing, 1, steady());
    let (_, request) = borrowing
        .ask_remote_lender(steady())
        .expect("demand is open");
    answer(&mut lending, &request, steady());
    let passed_on = lending.ask_remote_lender(steady());
    assert!(passed_on.is_none(), "{passed_on:?}");
}

#[test]
fn share_lent_to_another_data_centre_returns_for_own_demand() {
    let mut lending = lender("a", ONE, &[], at(0));
    let mut borrowing = lender("b", ONE, &["a"], at(0));
    let mut remote = borrower("x", ONE);
    let mut local = borrower("y", ONE);
    let mut admitted = Vec::new();
    for step in 0..60 {
        let now = steady() + step * 100 * MS;
        if let Some((from, loan_request)) = borrowing.ask_remote_lender(now) {
            borrowing.accept_remote_reply(&from, &answer(&mut lending, &loan_request, now));
        }
        for (borrower, lender, first_step) in [
            (&mut remote, &mut borrowing, 0),
            (&mut local, &mut lending, 20),
        ] {
            if step >= first_step
                && let Some(permit) = admit(borrower, lender, 1, now)
            {
                borrower.release(permit, 1, now);
                admitted.push((first_step, step));
            }
        }
        let held = remote.held(now).plus(local.held(now));
        assert!(held.concurrency <= 1, "{held:?} at {step}");
    }
    let first = |first_step| {
        admitted
            .iter()
            .find(|(by, _)| *by == first_step)
            .map(|(_, step)| *step)
    };
    assert!(first(0).is_some_and(|step| step < 5), "{admitted:?}");
    assert!(first(20).is_some_and(|step| step < 50), "{admitted:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(44),
        ..ProptestConfig::default()
    })]

    #[test]
    fn window_never_counts_less_than_was_used(
        uses in prop::collection::vec((0..400_u64, 1..5_u64), 1..200),
    ) {
        let mut window = UsageWindow::new(Duration::from_secs(1));
        let mut now = 0;
        let mut made: Vec<(u64, u64)> = Vec::new();
        for (gap, units) in uses {
            now += gap / 4;
            window.record(units, at(now));
            made.push((now, units));
            for look in [now, now + 700] {
                let recent = made.iter().filter(|(used, _)| used + 1000 > look);
                let used: u64 = recent.map(|(_, units)| units).sum();
                prop_assert!(window.clone().total(at(look)) >= used);
            }
        }
        prop_assert_eq!(window.total(at(now + 1000)), 0);
    }
}
