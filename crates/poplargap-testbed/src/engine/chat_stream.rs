//! Chat completions streamed as server-sent events.

use {
    super::{ChatChunk, engine_context::SubmittedRun, run_request::RunEvent},
    crate::fault::ConnectionHandle,
    bytes::Bytes,
    futures::{Stream, stream},
    std::{collections::VecDeque, io, time::Duration},
    tokio::time::sleep,
};

/// Final event of a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Time for events to be sent before the connection is cut.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// State of a streamed chat completion.
#[derive(Debug)]
struct ChatStream {
    connection: ConnectionHandle,
    ended: bool,
    tokens_left: Option<u64>,
    queued: VecDeque<Bytes>,
    run: SubmittedRun,
}

/// Streams the events of a run; the connection is cut after `stop_after` tokens, if set.
pub(super) fn chat_stream(
    run: SubmittedRun,
    connection: ConnectionHandle,
    stop_after: Option<u64>,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + Sync + 'static {
    let state = ChatStream {
        connection,
        ended: false,
        tokens_left: stop_after,
        queued: VecDeque::new(),
        run,
    };
    stream::unfold(state, async |mut state| {
        let item = state.next().await?;
        Some((item, state))
    })
}

impl ChatStream {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(bytes) = self.queued.pop_front() {
            return Some(Ok(bytes));
        }
        if self.ended {
            return None;
        }
        if self.tokens_left == Some(0) {
            return Some(Err(self.cut().await));
        }
        match self.run.events.recv().await {
            Some(RunEvent::Token { index }) => {
                self.tokens_left = self.tokens_left.map(|left| left - 1);
                Some(Ok(self.token(index)))
            }
            Some(RunEvent::Finished { usage }) => {
                self.ended = true;
                self.queued
                    .push_back(Bytes::from_static(DONE_EVENT.as_bytes()));
                let chunk = ChatChunk::usage(&self.run.request_id, usage);
                Some(Ok(Bytes::from(format!("data: {}\n\n", to_json(&chunk)))))
            }
            Some(RunEvent::Refused { .. } | RunEvent::Started { .. }) | None => {
                Some(Err(self.cut().await))
            }
        }
    }

    async fn cut(&mut self) -> io::Error {
        self.ended = true;
        self.run.guard.cancel();
        sleep(FLUSH_DELAY).await;
        self.connection.cut();
        io::ErrorKind::ConnectionReset.into()
    }

    fn token(&self, index: usize) -> Bytes {
        let script = self.run.script;
        let last = index + 1 == script.len();
        let chunk = ChatChunk::token(&self.run.request_id, index, script.token(index), last);
        Bytes::from(format!("id: {index}\ndata: {}\n\n", to_json(&chunk)))
    }
}

fn to_json(chunk: &ChatChunk) -> String {
    serde_json::to_string(chunk).expect("a chunk has only serialisable fields")
}
