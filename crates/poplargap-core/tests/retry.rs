//! Tests of the attempts at a call and of the retry budget.

use {
    poplargap_core::{
        instant::MonotonicInstant,
        name::RequestId,
        retry::{
            AttemptEvent, AttemptState, AttemptStep, CallAttempts, CallEnd, CallKind,
            DiscardReason, RETRY_FLOOR_PER_SECOND, RetryBudget, RunOutcome,
        },
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

fn request(name: &str) -> RequestId {
    name.try_into().expect("a checked name")
}

fn index(index: u64) -> AttemptEvent {
    let request = request("own");
    AttemptEvent::IndexReceived { index, request }
}

fn call(kind: CallKind) -> CallAttempts {
    CallAttempts::new(request("own"), kind)
}

fn settled(outcome: RunOutcome) -> AttemptStep {
    let complete = false;
    AttemptStep::Settle(CallEnd { complete, outcome })
}

/// Processes `events` of the current attempt and returns the last step.
fn play(call: &mut CallAttempts, events: &[AttemptEvent]) -> AttemptStep {
    let attempt = call.attempt();
    let steps = events.iter().map(|event| call.handle_event(attempt, event));
    steps.last().expect("there is an event")
}

#[test]
fn next_step_depends_on_kind_and_progress() {
    use {AttemptEvent as Event, CallKind::*, RunOutcome::*};
    let total = Some(3);
    let cases = [
        (AtMostOnce, vec![Event::ConnectFailed], AttemptStep::Retry),
        (AtMostOnce, vec![Event::DeadlinePassed], settled(NotRun)),
        (
            AtMostOnce,
            vec![Event::Sent, Event::UpstreamRefused],
            AttemptStep::Retry,
        ),
        (
            AtMostOnce,
            vec![Event::Sent, Event::ConnectionLost],
            settled(Unknown),
        ),
        (
            AtMostOnce,
            vec![Event::Sent, Event::ConnectFailed],
            settled(Unknown),
        ),
        (
            AtMostOnce,
            vec![Event::Sent, Event::DeadlinePassed],
            settled(Unknown),
        ),
        (
            AtMostOnce,
            vec![Event::Sent, Event::AnswerBegan, Event::ConnectionLost],
            settled(Unknown),
        ),
        (
            AtMostOnce,
            vec![Event::Sent, index(0), Event::ConnectionLost],
            settled(Ran),
        ),
        (AtMostOnce, vec![Event::Sent, index(1)], settled(Ran)),
        (
            Repeatable,
            vec![Event::Sent, Event::ConnectionLost],
            AttemptStep::Retry,
        ),
        (
            Repeatable,
            vec![Event::Sent, Event::AnswerBegan, Event::ConnectionLost],
            AttemptStep::Retry,
        ),
        (
            Repeatable,
            vec![Event::Sent, index(0), Event::ConnectionLost],
            AttemptStep::Resume { from: 1 },
        ),
        (
            Repeatable,
            vec![Event::Sent, index(0), index(2)],
            AttemptStep::Resume { from: 1 },
        ),
        (
            Repeatable,
            vec![Event::Sent, index(0), Event::Finished { total }],
            AttemptStep::Resume { from: 1 },
        ),
        (
            Repeatable,
            vec![Event::Sent, index(0), Event::DeadlinePassed],
            settled(Ran),
        ),
    ];
    for (kind, events, step) in cases {
        assert_eq!(play(&mut call(kind), &events), step, "{kind} {events:?}");
    }
}

#[test]
fn refused_resume_ends_the_call_rather_than_mixing_two_answers() {
    let mut call = call(CallKind::Repeatable);
    play(
        &mut call,
        &[AttemptEvent::Sent, index(0), AttemptEvent::ConnectionLost],
    );
    let step = play(
        &mut call,
        &[AttemptEvent::Sent, AttemptEvent::UpstreamRefused],
    );
    assert_eq!(step, settled(RunOutcome::Ran));
}

#[test]
fn events_of_other_requests_and_earlier_attempts_are_discarded() {
    let mut call = call(CallKind::Repeatable);
    let first = call.attempt();
    play(
        &mut call,
        &[AttemptEvent::Sent, AttemptEvent::ConnectionLost],
    );
    play(&mut call, &[AttemptEvent::Sent]);
    let late = call.handle_event(first, &index(0));
    assert_eq!(late, AttemptStep::Discard(DiscardReason::Late));
    let foreign = AttemptEvent::IndexReceived {
        index: 0,
        request: request("other"),
    };
    let step = play(&mut call, &[foreign]);
    assert_eq!(step, AttemptStep::Discard(DiscardReason::ForeignRequest));
    assert_eq!(play(&mut call, &[index(0)]), AttemptStep::Deliver);
    let step = play(&mut call, &[index(0)]);
    assert_eq!(step, AttemptStep::Discard(DiscardReason::Duplicate));
}

#[test]
fn outcome_has_the_names_that_callers_see() {
    let names = [RunOutcome::NotRun, RunOutcome::Unknown, RunOutcome::Ran]
        .map(|outcome| outcome.to_string());
    assert_eq!(names, ["not-run", "unknown", "ran"]);
}

#[test]
fn budget_limits_retries_to_a_share_of_the_requests() {
    let mut budget = RetryBudget::new();
    assert!(
        budget.clone().take_retry(MonotonicInstant::default()),
        "the floor allows a retry"
    );
    let mut allowed = 0;
    for step in 0..60_000 {
        let now = MonotonicInstant::from_start(Duration::from_millis(step));
        if step % 10 == 0 {
            budget.count_request(now);
        }
        allowed += u64::from(budget.take_retry(now));
    }
    let most = 6000 / 10 + 60 * RETRY_FLOOR_PER_SECOND;
    assert!(
        (most * 8 / 10..=most + 20).contains(&allowed),
        "{allowed} of {most}"
    );
}

/// How one attempt ends.
#[derive(Clone, Debug)]
enum AttemptEnd {
    ConnectFails,
    Lost { events: u64, ran: bool },
    DeadlinePasses,
    Refuses,
    Succeeds { noise: u64 },
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::ConnectFails),
        (0..6_u64, any::<bool>()).prop_map(|(events, ran)| AttemptEnd::Lost { events, ran }),
        Just(AttemptEnd::DeadlinePasses),
        Just(AttemptEnd::Refuses),
        (0..9_u64).prop_map(|noise| AttemptEnd::Succeeds { noise }),
    ]
}

const TOTAL: u64 = 5;

/// Returns the events of an attempt that starts at index `from`, and whether the call ran.
fn events(end: &AttemptEnd, from: u64) -> (Vec<AttemptEvent>, bool) {
    let mut events = vec![AttemptEvent::Sent];
    match *end {
        AttemptEnd::ConnectFails => return (vec![AttemptEvent::ConnectFailed], false),
        AttemptEnd::Lost { events: count, ran } => {
            let count = if ran { count } else { 0 };
            events.extend((from..TOTAL.min(from + count)).map(index));
            events.push(AttemptEvent::ConnectionLost);
            return (events, ran);
        }
        AttemptEnd::DeadlinePasses => events.push(AttemptEvent::DeadlinePassed),
        AttemptEnd::Refuses => events.push(AttemptEvent::UpstreamRefused),
        AttemptEnd::Succeeds { noise } => {
            events.push(AttemptEvent::AnswerBegan);
            events.extend((from..TOTAL).map(index));
            events.insert(2 + (noise as usize).min(events.len() - 2), index(noise));
            let total = Some(TOTAL);
            events.push(AttemptEvent::Finished { total });
        }
    }
    (
        events,
        matches!(
            end,
            AttemptEnd::DeadlinePasses | AttemptEnd::Succeeds { .. }
        ),
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(45),
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcome_is_correct_and_the_answer_complete(
        ends in prop::collection::vec(end(), 1..6),
        repeatable in any::<bool>(),
    ) {
        let kind = if repeatable { CallKind::Repeatable } else { CallKind::AtMostOnce };
        let mut call = call(kind);
        let (mut runs, mut delivered) = (0, 0);
        'attempts: for end in ends {
            let attempt = call.attempt();
            let (events, ran) = events(&end, call.next_index());
            runs += u64::from(ran);
            for event in events {
                match call.handle_event(attempt, &event) {
                    AttemptStep::Deliver => {
                        prop_assert_eq!(&event, &index(delivered));
                        delivered += 1;
                    }
                    AttemptStep::Resume { from } => {
                        prop_assert!(repeatable || runs == 0);
                        prop_assert_eq!(from, delivered);
                        continue 'attempts;
                    }
                    AttemptStep::Retry => {
                        prop_assert!(repeatable || runs == 0);
                        continue 'attempts;
                    }
                    AttemptStep::Settle(_) => break 'attempts,
                    AttemptStep::Continue | AttemptStep::Discard(_) => {}
                }
            }
        }
        if !matches!(call.state(), AttemptState::Settled(_)) {
            call.give_up();
        }
        let AttemptState::Settled(end) = call.state() else {
            return Err(TestCaseError::fail("the call has ended"));
        };
        prop_assert!(repeatable || runs <= 1);
        match end.outcome {
            RunOutcome::NotRun => prop_assert_eq!(runs, 0),
            RunOutcome::Unknown => {}
            RunOutcome::Ran => prop_assert!(runs > 0),
        }
        prop_assert!(!end.complete || delivered == TOTAL);
    }
}
