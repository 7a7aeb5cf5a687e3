//! Tests of streamed answers: chunks split at any byte, lost and repeated events, resumed attempts.

use {
    bytes::Bytes,
    poplargap_core::{
        answer::{AnswerTracker, CompletionBuilder, EventKind, EventSplitter, SplitError},
        name::RequestId,
    },
    proptest::{collection::vec, prelude::*, sample::Index, test_runner::RngSeed},
};

const DONE: &[u8] = b"data: [DONE]\n\n";
const EVENT_LEN_MAX: usize = 1024 * 1024;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn id(text: &str) -> RequestId {
    text.try_into().expect("a checked name")
}

fn token(id: &str, index: u64) -> Vec<u8> {
    let data = format!(
        "{{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{index} \"}}}}]}}"
    );
    format!("id: {index}\ndata: {data}\n\n").into_bytes()
}

fn usage(id: &str, tokens: u64) -> Vec<u8> {
    let data = format!(
        "{{\"id\":\"{id}\",\"choices\":[],\"usage\":{{\"prompt_tokens\":7,\"completion_tokens\":{tokens}}}}}"
    );
    format!("data: {data}\n\n").into_bytes()
}

/// Returns all events of a stream that arrives in `chunks`, and the incomplete rest.
fn split(chunks: &[&[u8]]) -> Result<(Vec<Bytes>, Option<Bytes>), SplitError> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(Bytes::copy_from_slice(chunk))?;
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    Ok((events, splitter.take_rest()))
}

fn split_at_indexes<'a>(stream: &'a [u8], cuts: &[Index]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = cuts.iter().map(|at| at.index(stream.len() + 1)).collect();
    positions.extend([0, stream.len()]);
    positions.sort_unstable();
    positions
        .windows(2)
        .map(|pair| &stream[pair[0]..pair[1]])
        .collect()
}

/// What the upstream or the network does with the next event of a stream.
#[derive(Clone, Debug)]
enum StreamStep {
    Comment,
    Foreign(u64),
    Repeat(u64),
    Send,
    Skip,
}

fn stream_step() -> impl Strategy<Value = StreamStep> {
    prop_oneof![
        1 => Just(StreamStep::Comment),
        1 => (0_u64..40).prop_map(StreamStep::Foreign),
        1 => (0_u64..40).prop_map(StreamStep::Repeat),
        6 => Just(StreamStep::Send),
        1 => Just(StreamStep::Skip),
    ]
}

/// Sends one attempt's events from the tracker's next index; returns whether the answer ended.
fn attempt(
    tracker: &mut AnswerTracker,
    steps: &[StreamStep],
    total: u64,
    forwarded: &mut Vec<Vec<u8>>,
) -> bool {
    let mut index = tracker.next_index();
    for step in steps {
        let event = match step {
            StreamStep::Comment => b": keep-alive\n\n".to_vec(),
            StreamStep::Foreign(at) => token("other", *at),
            StreamStep::Repeat(at) => token("r1", (*at).min(index.saturating_sub(1))),
            StreamStep::Send if index < total => token("r1", index),
            StreamStep::Send => DONE.to_vec(),
            StreamStep::Skip => {
                index = (index + 1).min(total.saturating_sub(1));
                continue;
            }
        };
        let next = tracker.next_index();
        match (tracker.classify(&event), step) {
            (EventKind::Forward, StreamStep::Send | StreamStep::Repeat(_)) => {
                assert_eq!(event, token("r1", next), "only the next event is forwarded");
                forwarded.push(event);
            }
            (EventKind::End, StreamStep::Send) => return true,
            // The user of the tracker ends the attempt here and resumes with another one.
            (EventKind::Gap, StreamStep::Send | StreamStep::Repeat(_)) => return false,
            (EventKind::Duplicate, StreamStep::Repeat(_) | StreamStep::Send)
            | (EventKind::Foreign, StreamStep::Foreign(_))
            | (EventKind::Comment, StreamStep::Comment) => {}
            (kind, step) => panic!("{kind:?} of {step:?}"),
        }
        if matches!(step, StreamStep::Send) {
            index += 1;
        }
    }
    false
}

proptest! {
    #![proptest_config(config(2))]

    #[test]
    fn any_split_into_chunks_gives_the_same_events(
        stream in vec(prop_oneof![3 => Just(b'\n'), 2 => Just(b'a'), 1 => any::<u8>()], 0..200),
        cuts in vec(any::<Index>(), 0..40),
    ) {
        let whole = split(&[&stream]).expect("the stream is short");
        let parts = split(&split_at_indexes(&stream, &cuts)).expect("the stream is short");
        let single: Vec<&[u8]> = stream.chunks(1).collect();
        prop_assert_eq!(&parts, &whole);
        prop_assert_eq!(&split(&single).expect("the stream is short"), &whole);
        let (events, rest) = whole;
        prop_assert!(events.iter().all(|event| event.ends_with(b"\n\n")));
        let mut joined = events.concat();
        joined.extend_from_slice(&rest.unwrap_or_default());
        prop_assert_eq!(joined, stream);
    }

    #[test]
    fn forwarded_events_are_in_order_once_each(
        total in 1_u64..20,
        attempts in vec(vec(stream_step(), 0..30), 0..6),
    ) {
        let mut tracker = AnswerTracker::new(id("r1"));
        let mut forwarded = Vec::new();
        let mut ended = false;
        for steps in &attempts {
            ended = attempt(&mut tracker, steps, total, &mut forwarded);
            if ended {
                break;
            }
        }
        if !ended {
            let rest = vec![StreamStep::Send; 25];
            ended = attempt(&mut tracker, &rest, total, &mut forwarded);
        }
        prop_assert!(ended && tracker.is_complete());
        prop_assert_eq!(tracker.next_index(), total);
        let expected: Vec<Vec<u8>> = (0..total).map(|index| token("r1", index)).collect();
        prop_assert_eq!(forwarded, expected);
    }

    #[test]
    fn any_bytes_are_classified_without_a_panic(event in vec(any::<u8>(), 0..200)) {
        let mut tracker = AnswerTracker::new(id("r1"));
        let kind = tracker.classify(&event);
        prop_assert_ne!(kind, EventKind::Forward);
        prop_assert_eq!(tracker.next_index(), 0);
        let mut builder = CompletionBuilder::default();
        builder.push(&event);
        builder.push(&[b"data: ", event.as_slice()].concat());
    }

    #[test]
    fn events_become_one_completion(total in 0_u64..20) {
        let mut builder = CompletionBuilder::default();
        (0..total).for_each(|index| builder.push(&token("r1", index)));
        builder.push(&usage("r1", total));
        builder.push(DONE);
        let completion = serde_json::to_value(builder.into_completion()).expect("it is JSON");
        let words: Vec<String> = (0..total).map(|index| format!("t{index} ")).collect();
        let text = words.concat();
        prop_assert_eq!(&completion["id"], "r1");
        prop_assert_eq!(&completion["usage"]["completion_tokens"], total);
        if total > 0 {
            let message = &completion["choices"][0]["message"];
            prop_assert_eq!(&message["content"], &text);
            prop_assert_eq!(&message["role"], "assistant");
        }
    }
}

#[test]
fn usage_is_forwarded_once_over_all_attempts() {
    let mut tracker = AnswerTracker::new(id("r1"));
    assert_eq!(tracker.classify(&token("r1", 0)), EventKind::Forward);
    assert_eq!(tracker.classify(&usage("other", 9)), EventKind::Foreign);
    assert_eq!(tracker.classify(&usage("r1", 1)), EventKind::Forward);
    assert_eq!(tracker.classify(&usage("r1", 1)), EventKind::Duplicate);
    let usage = tracker.usage().expect("the usage was received");
    assert_eq!(usage.completion_tokens, 1);
}

#[test]
fn error_event_fails_the_attempt() {
    let mut tracker = AnswerTracker::new(id("r1"));
    let event = b"event: error\ndata: {\"id\":\"r1\"}\n\n";
    assert_eq!(tracker.classify(event), EventKind::Failed);
    assert!(!tracker.is_complete());
}

#[test]
fn too_long_event_is_an_error() {
    let chunk = vec![b'a'; 64 * 1024];
    let chunks = vec![chunk.as_slice(); EVENT_LEN_MAX / chunk.len() + 1];
    assert_eq!(split(&chunks), Err(SplitError::TooLong));
}

#[test]
fn too_long_event_in_one_chunk_is_an_error() {
    let incomplete = vec![b'a'; EVENT_LEN_MAX + 1];
    assert_eq!(split(&[&incomplete]).err(), Some(SplitError::TooLong));
    let complete = [incomplete.as_slice(), b"\n\n"].concat();
    assert_eq!(split(&[&complete]).err(), Some(SplitError::TooLong));
}

#[test]
fn many_events_in_one_chunk_after_an_incomplete_one_are_no_error() {
    let event = token("r1", 0);
    let (start, end) = event.split_at(5);
    let mut chunk = end.to_vec();
    while chunk.len() <= EVENT_LEN_MAX {
        chunk.extend_from_slice(&event);
    }
    let whole = [start, &chunk].concat();
    assert!(
        split(&[start, &chunk]) == split(&[&whole]),
        "the split into chunks changed the events"
    );
    let (events, rest) = split(&[start, &chunk]).expect("every event is short");
    assert_eq!(events.len(), whole.len() / event.len());
    assert_eq!(rest, None);
}
