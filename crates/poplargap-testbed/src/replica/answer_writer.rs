//! Writes a replica's answers with their faults.

use {
    super::{
        EndlessBytes, ReplicaFault, SeenRequest,
        replica_state::{ReplicaState, lock},
        wire_answer::{EVENT_COUNT, WireAnswer},
    },
    std::{io, sync::Mutex, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Repetitions of endless bytes in one write.
const ENDLESS_REPEATS: usize = 512;

/// Pause between two writes of endless bytes.
const ENDLESS_PAUSE: Duration = Duration::from_millis(2);

/// Pause between two writes of bytes that trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// Header lines of an event stream.
const STREAM_FRAMING: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Events of a stream in one write of several.
const EVENTS_PER_WRITE: usize = 3;

/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(30);

/// Writes the answer to a request that runs; an error closes the connection.
pub(super) async fn write_answer(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    fault: ReplicaFault,
    wire: &WireAnswer,
    request: &SeenRequest,
) -> io::Result<()> {
    let whole = wire.whole("200 OK");
    match fault {
        ReplicaFault::Endless(bytes) => write_endless(stream, state, bytes, wire).await,
        ReplicaFault::CloseUnanswered => Err(io::ErrorKind::ConnectionReset.into()),
        ReplicaFault::CutHead(count) => {
            let head = if request.line.contains("/stream") {
                wire.head("200 OK", STREAM_FRAMING)
            } else {
                wire.head("200 OK", "Content-Length: 12\r\n")
            };
            let sent = &head.as_bytes()[..count.min(head.len() - 1)];
            stream.write_all(sent).await?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        ReplicaFault::EmptyStream => {
            let head = wire.head("200 OK", "Content-Type: text/event-stream\r\n");
            stream.write_all(head.as_bytes()).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        ReplicaFault::ExtraAnswer => {
            stream.write_all(whole.as_bytes()).await?;
            sleep(EVENT_PAUSE).await;
            stream.write_all(whole.as_bytes()).await
        }
        ReplicaFault::Fail => {
            let failure = wire.whole("500 Internal Server Error");
            stream.write_all(failure.as_bytes()).await
        }
        ReplicaFault::FailAs(status) => stream.write_all(wire.whole(status).as_bytes()).await,
        ReplicaFault::PlainText => {
            let framing = "Content-Type: text/plain\r\nContent-Length: 15\r\n";
            let plain = wire.head("200 OK", framing) + "it went wrong\n\n";
            stream.write_all(plain.as_bytes()).await
        }
        ReplicaFault::Slow(time) => {
            if timeout(time, wait_for_close(stream)).await.is_ok() {
                lock(state).cut_off += 1;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            stream.write_all(whole.as_bytes()).await
        }
        ReplicaFault::StallStream(events) => {
            write_begun_stream(stream, wire, request, events).await?;
            wait_for_close(stream).await;
            lock(state).cut_off += 1;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        ReplicaFault::Stall => {
            let half = &whole.as_bytes()[..whole.len() - 5];
            stream.write_all(half).await?;
            wait_for_close(stream).await;
            lock(state).cut_off += 1;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        ReplicaFault::SpoiltId { event, id } => {
            write_spoilt_stream(stream, wire, request, event, id).await
        }
        ReplicaFault::Truncate => {
            stream
                .write_all(&whole.as_bytes()[..whole.len() - 3])
                .await?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        ReplicaFault::Unframed => {
            let unframed = wire.head("200 OK", "") + "answer without a length";
            stream.write_all(unframed.as_bytes()).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        ReplicaFault::UnframedCutStream(count) => {
            write_unframed_stream(stream, wire, request, Some(count)).await
        }
        ReplicaFault::UnframedStream => write_unframed_stream(stream, wire, request, None).await,
        ReplicaFault::Unsigned => stream.write_all(wire.unsigned().as_bytes()).await,
        ReplicaFault::BreakStream(_)
        | ReplicaFault::CrashOnPart { .. }
        | ReplicaFault::CrashOnText(_)
        | ReplicaFault::EarlyReset(_)
        | ReplicaFault::None
        | ReplicaFault::Full
        | ReplicaFault::FullFor(_)
        | ReplicaFault::RepeatRefusal { .. } => {
            if !request.line.contains("/stream") {
                return stream.write_all(whole.as_bytes()).await;
            }
            let streamed = write_stream(stream, fault, wire, request).await;
            if streamed.is_err() && fault == ReplicaFault::None {
                lock(state).cut_off += 1;
            }
            streamed
        }
    }
}

/// Waits until the reader closes the connection; it sends nothing before the answer.
async fn wait_for_close(stream: &mut TcpStream) {
    let mut byte = [0; 1];
    while let Ok(1) = stream.read(&mut byte).await {}
}

/// Writes the head of an answer without a length and the first part of its body, and waits.
pub(super) async fn write_early_answer(
    stream: &mut TcpStream,
    request: &SeenRequest,
    pause: Duration,
) -> io::Result<()> {
    let wire = WireAnswer::new(request, "1,0,64".to_owned(), false);
    let (framing, part) = if request.line.contains("/stream") {
        (
            "Content-Type: text/event-stream\r\n",
            WireAnswer::event_text(1),
        )
    } else {
        ("", "answer wi".to_owned())
    };
    let begun = wire.head("200 OK", framing) + &part;
    stream.write_all(begun.as_bytes()).await?;
    sleep(pause).await;
    Ok(())
}

/// Writes bytes without end until the reader closes the connection.
async fn write_endless(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    bytes: EndlessBytes,
    wire: &WireAnswer,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    let start = bytes.start(&head, &wire.whole("200 OK"), &WireAnswer::event(1));
    lock(state).endless_open += 1;
    let written = repeat(stream, state, &start, bytes).await;
    lock(state).endless_open -= 1;
    written
}

async fn repeat(
    stream: &mut TcpStream,
    state: &Mutex<ReplicaState>,
    start: &str,
    bytes: EndlessBytes,
) -> io::Result<()> {
    stream.write_all(start.as_bytes()).await?;
    let (repeats, pause) = if bytes == EndlessBytes::TrickledFailure {
        (1, TRICKLE_PAUSE)
    } else {
        (ENDLESS_REPEATS, ENDLESS_PAUSE)
    };
    let block = bytes.repeated().repeat(repeats);
    let mut answer = [0; 1];
    loop {
        // The reader sends nothing, so a read ends only when it closes the connection.
        tokio::select! {
            read = stream.read(&mut answer) => {
                read?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            () = sleep(pause) => {}
        }
        stream.write_all(block.as_bytes()).await?;
        lock(state).endless_bytes += block.len();
    }
}

/// Writes a stream whose end is that of its connection; it ends in the middle of the event after
/// number `cut_after`, if that is set.
async fn write_unframed_stream(
    stream: &mut TcpStream,
    wire: &WireAnswer,
    request: &SeenRequest,
    cut_after: Option<u64>,
) -> io::Result<()> {
    let head = wire.head("200 OK", "Content-Type: text/event-stream\r\n");
    stream.write_all(head.as_bytes()).await?;
    for number in request.last_event() + 1..=EVENT_COUNT {
        let event = WireAnswer::event_text(number);
        if cut_after == Some(number - 1) {
            let half = &event.as_bytes()[..event.len() / 2];
            stream.write_all(half).await?;
            break;
        }
        stream.write_all(event.as_bytes()).await?;
        sleep(EVENT_PAUSE).await;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Writes a stream, three events at a time; the event `spoilt` has `id` in place of its own one.
async fn write_spoilt_stream(
    stream: &mut TcpStream,
    wire: &WireAnswer,
    request: &SeenRequest,
    spoilt: u64,
    id: &str,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    stream.write_all(head.as_bytes()).await?;
    let numbers: Vec<u64> = (request.last_event() + 1..=EVENT_COUNT).collect();
    for block in numbers.chunks(EVENTS_PER_WRITE) {
        let events: String = block
            .iter()
            .map(|number| {
                let event = WireAnswer::event_text(*number);
                if *number == spoilt {
                    event.replacen(&format!("id: {number}"), &format!("id: {id}"), 1)
                } else {
                    event
                }
            })
            .collect();
        stream
            .write_all(WireAnswer::chunk(&events).as_bytes())
            .await?;
        sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Writes the head of a stream and this number of events.
pub(super) async fn write_begun_stream(
    stream: &mut TcpStream,
    wire: &WireAnswer,
    request: &SeenRequest,
    events: u64,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    stream.write_all(head.as_bytes()).await?;
    let first = request.last_event() + 1;
    for number in first..first + events {
        stream
            .write_all(WireAnswer::event(number).as_bytes())
            .await?;
        sleep(EVENT_PAUSE).await;
    }
    Ok(())
}

/// Writes the events that follow the request's `Last-Event-Id`.
async fn write_stream(
    stream: &mut TcpStream,
    fault: ReplicaFault,
    wire: &WireAnswer,
    request: &SeenRequest,
) -> io::Result<()> {
    let head = wire.head("200 OK", STREAM_FRAMING);
    stream.write_all(head.as_bytes()).await?;
    for number in request.last_event() + 1..=EVENT_COUNT {
        let event = WireAnswer::event(number);
        if fault == ReplicaFault::BreakStream(number - 1) {
            stream
                .write_all(&event.as_bytes()[..event.len() / 2])
                .await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(event.as_bytes()).await?;
        sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
