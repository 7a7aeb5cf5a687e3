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

/// Returns the events that a sound chunk completes.
fn read(cursor: &mut EventCursor, chunk: &[u8]) -> Bytes {
    let batch = cursor.push(Bytes::copy_from_slice(chunk));
    assert_eq!(batch.error, None, "ids increase");
    batch.events.unwrap_or_default()
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
            passed.extend(read(&mut cursor, piece));
        }
        drop(cursor.take_rest());
        let rest = stream(cursor.last_id().unwrap_or(0) + 1, 40);
        for piece in rest.as_bytes().chunks(chunk) {
            passed.extend(read(&mut cursor, piece));
        }
        prop_assert_eq!(String::from_utf8(passed).expect("the stream is text"), whole);
    }

    // The last id moved over events that were dropped with the chunk of a spoilt one.
    #[test]
    fn events_before_a_spoilt_id_are_passed_on(
        spoilt in 2_u64..40,
        id in prop::sample::select(vec!["0", "x", "", "1"]),
        chunk in 1_usize..200,
    ) {
        let whole = stream(1, 40);
        let line = format!("id: {spoilt}\n");
        let broken = whole.replacen(&line, &format!("id: {id}\n"), 1);
        let mut cursor = EventCursor::new(None);
        let mut passed = Vec::new();
        for piece in broken.as_bytes().chunks(chunk) {
            let batch = cursor.push(Bytes::copy_from_slice(piece));
            passed.extend(batch.events.into_iter().flatten());
            if batch.error.is_some() {
                break;
            }
        }
        drop(cursor.take_rest());
        prop_assert_eq!(cursor.last_id(), Some(spoilt - 1));
        prop_assert_eq!(cursor.event_count(), spoilt - 1);
        passed.extend(stream(spoilt, 40).into_bytes());
        prop_assert_eq!(String::from_utf8(passed).expect("the stream is text"), whole);
    }
}

#[test]
fn repeated_event_is_an_error() {
    let mut cursor = EventCursor::new(Some(5));
    let batch = cursor.push(Bytes::from(stream(5, 6)));
    assert_eq!(batch.error, Some(CursorError::OutOfOrder));
    assert_eq!(batch.events, None);
}

#[test]
fn incomplete_event_is_buffered() {
    let mut cursor = EventCursor::new(None);
    assert_eq!(read(&mut cursor, b"id: 1\nda"), Bytes::new());
    assert!(!cursor.is_between_events());
    let events = read(&mut cursor, b"ta: x\n\nid: 2");
    assert_eq!(events, Bytes::from_static(b"id: 1\ndata: x\n\n"));
    assert_eq!(cursor.last_id(), Some(1));
}

#[test]
fn overlong_event_is_an_error() {
    let mut cursor = EventCursor::new(None);
    let long = vec![b'a'; 1024 * 1024 + 1];
    let batch = cursor.push(Bytes::from(long.clone()));
    assert_eq!(batch.error, Some(CursorError::TooLong));
    let mut cursor = EventCursor::new(None);
    let batch = cursor.push(Bytes::from([stream(1, 2).into_bytes(), long].concat()));
    assert_eq!(batch.error, Some(CursorError::TooLong));
    assert_eq!(batch.events, Some(Bytes::from(stream(1, 2))));
}

#[test]
fn ids_that_are_no_numbers_are_read_only_where_all_are() {
    let mut cursor = EventCursor::new(None);
    read(&mut cursor, b"id: a\ndata: x\n\nid: b\ndata: y\n\n");
    assert_eq!(cursor.last_id(), None);
    read(&mut cursor, b"id: 3\ndata: z\n\n: comment\n\n");
    let batch = cursor.push(Bytes::from_static(b"id: c\ndata: z\n\n"));
    assert_eq!(batch.error, Some(CursorError::InvalidId));
    assert_eq!(cursor.last_id(), Some(3));
}

#[test]
fn blank_lines_after_the_last_event_are_no_event() {
    let mut cursor = EventCursor::new(None);
    for (chunk, is_between) in [("data: a\n\n", true), ("\r\n", true), ("id", false)] {
        read(&mut cursor, chunk.as_bytes());
        assert_eq!(cursor.is_between_events(), is_between, "{chunk:?}");
    }
}
