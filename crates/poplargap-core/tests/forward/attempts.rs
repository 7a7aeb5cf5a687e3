use {
    poplargap_core::forward::{
        AttemptHistory, FinalAnswer, NextStep, RepeatRule, SendOutcome, next_step,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const TIME_LEFT: Duration = Duration::from_secs(1);

fn outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        Just(SendOutcome::Broken),
        Just(SendOutcome::Failed),
        Just(SendOutcome::NotExecuted),
        Just(SendOutcome::NotSent),
        Just(SendOutcome::Silent),
        Just(SendOutcome::Unreachable),
        Just(SendOutcome::WrongReplica),
    ]
}

fn rule() -> impl Strategy<Value = RepeatRule> {
    prop_oneof![
        Just(RepeatRule::Idempotent),
        Just(RepeatRule::Once),
        Just(RepeatRule::Resumable),
    ]
}

/// Applies the outcomes until the rule ends the request; returns those used and the answer.
fn run_attempts(
    rule: RepeatRule,
    max_attempts: u32,
    outcomes: &[SendOutcome],
    time_left: Duration,
) -> (Vec<SendOutcome>, Option<FinalAnswer>) {
    let mut history = AttemptHistory::default();
    let mut used = Vec::new();
    for outcome in outcomes {
        history.record(*outcome);
        used.push(*outcome);
        let step = next_step(rule, max_attempts, history, time_left);
        if let NextStep::Answer(answer) = step {
            return (used, Some(answer));
        }
    }
    (used, None)
}

proptest! {
    #[test]
    fn at_most_once_request_is_never_sent_after_it_may_have_run(
        outcomes in prop::collection::vec(outcome(), 1..8),
        max_attempts in 1_u32..4,
    ) {
        let (used, _) = run_attempts(RepeatRule::Once, max_attempts, &outcomes, TIME_LEFT);
        let runs = used.iter().filter(|outcome| !outcome.proves_not_run()).count();
        prop_assert!(runs <= 1);
        prop_assert!(used.iter().rev().skip(1).all(|outcome| outcome.proves_not_run()));
    }

    #[test]
    fn request_runs_at_no_more_replicas_than_its_route_allows(
        rule in rule(),
        outcomes in prop::collection::vec(outcome(), 1..8),
        max_attempts in 1_u32..4,
    ) {
        let (used, _) = run_attempts(rule, max_attempts, &outcomes, TIME_LEFT);
        let runs = used.iter().filter(|outcome| !outcome.proves_not_run()).count();
        prop_assert!(runs <= max_attempts as usize);
    }

    #[test]
    fn only_requests_that_did_not_run_are_refused(
        rule in rule(),
        outcomes in prop::collection::vec(outcome(), 1..8),
        max_attempts in 1_u32..4,
        time_left_ms in 0_u64..2_000,
    ) {
        let time_left = Duration::from_millis(time_left_ms);
        let (used, answer) = run_attempts(rule, max_attempts, &outcomes, time_left);
        if answer == Some(FinalAnswer::Refused) {
            prop_assert!(used.iter().all(|outcome| outcome.proves_not_run()));
        }
    }
}

#[test]
fn only_requests_that_were_delivered_use_the_retry_budget() {
    let mut history = AttemptHistory::default();
    history.record(SendOutcome::NotSent);
    let step = next_step(RepeatRule::Once, 1, history, TIME_LEFT);
    assert_eq!(step, NextStep::Retry { uses_budget: false });
    history.record(SendOutcome::NotExecuted);
    let step = next_step(RepeatRule::Once, 1, history, TIME_LEFT);
    assert_eq!(step, NextStep::Retry { uses_budget: true });
}
