use {
    bytes::Bytes,
    poplargap_core::forward::{CursorError, EventCursor},
    proptest::prelude::*,
};

fn stream(first: u64, last: u64) -> String {
    let events: Vec<String> = (first..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    events.concat()
}

proptest! {
    #[test]
    fn stream_that_is_cut_anywhere_and_resumed_is_whole(
        cut in 0_usize..900,
        chunk in 1_usize..80,
    ) {
        let whole = stream(1, 40);
        let first = &whole.as_bytes()[..cut.min(whole.len())];
        let mut cursor = EventCursor::new(None);
        let mut passed = Vec::new();
        for piece in first.chunks(chunk) {
            let events = cursor.push(Bytes::copy_from_slice(piece)).expect("ids increase");
            passed.extend(events.into_iter().flatten());
        }
        drop(cursor.take_rest());
        let rest = stream(cursor.last_id().unwrap_or(0) + 1, 40);
        for piece in rest.as_bytes().chunks(chunk) {
            let events = cursor.push(Bytes::copy_from_slice(piece)).expect("ids increase");
            passed.extend(events.into_iter().flatten());
        }
        prop_assert_eq!(String::from_utf8(passed).expect("the stream is text"), whole);
    }
}

#[test]
fn repeated_event_is_an_error() {
    let mut cursor = EventCursor::new(Some(5));
    let again = Bytes::from(stream(5, 6));
    assert_eq!(cursor.push(again), Err(CursorError::OutOfOrder));
}

#[test]
fn incomplete_event_is_buffered() {
    let mut cursor = EventCursor::new(None);
    assert_eq!(cursor.push(Bytes::from_static(b"id: 1\nda")), Ok(None));
    assert!(!cursor.is_between_events());
    let events = cursor
        .push(Bytes::from_static(b"ta: x\n\nid: 2"))
        .expect("ids increase");
    assert_eq!(events, Some(Bytes::from_static(b"id: 1\ndata: x\n\n")));
    assert_eq!(cursor.last_id(), Some(1));
}

#[test]
fn overlong_event_is_an_error() {
    let mut cursor = EventCursor::new(None);
    let long = Bytes::from(vec![b'a'; 1024 * 1024 + 1]);
    assert_eq!(cursor.push(long), Err(CursorError::TooLong));
}

#[test]
fn blank_lines_after_the_last_event_are_no_event() {
    let mut cursor = EventCursor::new(None);
    for (chunk, is_between) in [("data: a\n\n", true), ("\r\n", true), ("id", false)] {
        cursor
            .push(Bytes::from_static(chunk.as_bytes()))
            .expect("events in order");
        assert_eq!(cursor.is_between_events(), is_between, "{chunk:?}");
    }
}
