//! Runs one chat at an upstream of a shard that this daemon owns.

use {
    super::{
        AnswerFrame, AttemptResult, PlacePermit, PlaceReply, PlaceWork, ShardActor, UpstreamClients,
    },
    crate::clock::ProcessClock,
    bytes::Bytes,
    poplargap_core::{catalogue::UpstreamEntry, retry::RunOutcome},
    poplargap_link::envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
    reqwest::{Response, StatusCode},
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
    xtra::Address,
};

/// Frames of an answer that are buffered for a slow entry daemon.
const FRAMES_MAX: usize = 32;

/// Header in which an upstream says whether a refused request ran.
pub(super) const RAN_HEADER: &str = "x-poplargap-ran";

/// Runs chats at upstreams of the shards that this daemon owns.
#[derive(Clone, Debug)]
pub struct ChatTask {
    /// Clients of upstreams.
    pub clients: UpstreamClients,
    /// The daemon's clock.
    pub clock: ProcessClock,
    /// The actor that places requests.
    pub shards: Address<ShardActor>,
}

impl ChatTask {
    /// Starts a chat and returns the frames of its answer.
    ///
    /// Dropping the receiver cancels the request at the upstream.
    #[must_use]
    pub fn start(&self, envelope: RelayEnvelope, body: Bytes) -> mpsc::Receiver<AnswerFrame> {
        let (frames, receiver) = mpsc::channel(FRAMES_MAX);
        let task = self.clone();
        tokio::spawn(async move {
            let deadline = Duration::from_millis(envelope.deadline_ms);
            let run = task.run(&envelope, body, &frames);
            tokio::select! {
                () = frames.closed() => {}
                finished = time::timeout(deadline, run) => {
                    if finished.is_err() {
                        let mut refusal = RelayRefusal::not_run(RefusalReason::Expired);
                        refusal.ran = RunOutcome::Unknown;
                        drop(frames.send(AnswerFrame::Refused(refusal)).await);
                    }
                }
            }
        });
        receiver
    }

    async fn run(&self, envelope: &RelayEnvelope, body: Bytes, frames: &mpsc::Sender<AnswerFrame>) {
        let reply = match place(&self.shards, self.clock, envelope).await {
            Ok(reply) => reply,
            Err(refusal) => {
                drop(frames.send(AnswerFrame::Refused(refusal)).await);
                return;
            }
        };
        let PlaceReply { permit, upstream } = reply;
        match self.send(envelope, body, &upstream).await {
            Ok(response) => {
                drop(
                    frames
                        .send(AnswerFrame::Upstream(upstream.name.clone()))
                        .await,
                );
                let wait = self.first_byte_wait(envelope);
                self.forward(response, &upstream, (permit, wait), frames)
                    .await;
            }
            Err(failure) => {
                permit.close(failure.result);
                drop(frames.send(AnswerFrame::Refused(failure.refusal)).await);
            }
        }
    }

    async fn send(
        &self,
        envelope: &RelayEnvelope,
        body: Bytes,
        upstream: &UpstreamEntry,
    ) -> Result<Response, AttemptFailure> {
        let client = if envelope.repeatable {
            self.clients.pooled(upstream)
        } else {
            self.clients.fresh()
        };
        let mut request = client
            .post(format!("http://{}/v1/chat/completions", upstream.address))
            .header("content-type", "application/json")
            .header("x-request-id", envelope.request_id.as_str())
            .header("x-priority", envelope.priority.to_string())
            .header("x-deadline-ms", envelope.deadline_ms)
            .body(body);
        if let RelayWork::Chat { chat, resume_from } = &envelope.work {
            request = request.header("x-resume-from", *resume_from);
            if let Some(chat) = chat {
                request = request.header("x-chat-id", chat.as_str());
            }
        }
        let sent = time::timeout(self.first_byte_wait(envelope), request.send()).await;
        let Ok(sent) = sent else {
            self.clients.drop_pool(&upstream.name);
            return Err(AttemptFailure::broken(upstream));
        };
        match sent {
            Ok(response) if response.status() == StatusCode::OK => Ok(response),
            Ok(response) => Err(AttemptFailure::refused(upstream, &response)),
            Err(error) if error.is_connect() => Err(AttemptFailure::unreachable(upstream)),
            Err(_) => {
                self.clients.drop_pool(&upstream.name);
                Err(AttemptFailure::broken(upstream))
            }
        }
    }

    fn first_byte_wait(&self, envelope: &RelayEnvelope) -> Duration {
        let limits = self.clients.limits();
        if envelope.repeatable {
            limits.repeatable_first_byte(Duration::from_millis(envelope.deadline_ms))
        } else {
            limits.first_byte
        }
    }

    async fn forward(
        &self,
        mut response: Response,
        upstream: &UpstreamEntry,
        (permit, mut wait): (PlacePermit, Duration),
        frames: &mpsc::Sender<AnswerFrame>,
    ) {
        let limits = self.clients.limits();
        loop {
            let frame = match time::timeout(wait, response.chunk()).await {
                Ok(Ok(Some(chunk))) => AnswerFrame::Chunk(chunk),
                Ok(Ok(None)) => {
                    permit.close(AttemptResult::Answered);
                    drop(frames.send(AnswerFrame::Ended).await);
                    return;
                }
                Ok(Err(_)) | Err(_) => {
                    self.clients.drop_pool(&upstream.name);
                    permit.close(AttemptResult::Failed);
                    drop(frames.send(AnswerFrame::Refused(broken(upstream))).await);
                    return;
                }
            };
            wait = limits.between_events;
            if frames.send(frame).await.is_err() {
                return;
            }
        }
    }
}

/// A failed attempt at an upstream.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    pub(super) refusal: RelayRefusal,
    pub(super) result: AttemptResult,
}

impl AttemptFailure {
    /// Creates the failure of a request that was sent and not answered in full.
    pub(super) fn broken(upstream: &UpstreamEntry) -> Self {
        let refusal = broken(upstream);
        Self {
            refusal,
            result: AttemptResult::Failed,
        }
    }

    /// Creates the failure of a request that the upstream refused.
    pub(super) fn refused(upstream: &UpstreamEntry, response: &Response) -> Self {
        let header = response
            .headers()
            .get(RAN_HEADER)
            .and_then(|value| value.to_str().ok());
        let ran = header
            .and_then(|text| text.parse().ok())
            .unwrap_or(RunOutcome::Unknown);
        let mut refusal = broken(upstream);
        refusal.ran = ran;
        Self {
            refusal,
            result: AttemptResult::Refused,
        }
    }

    /// Creates the failure of a request for which no connection could be opened.
    pub(super) fn unreachable(upstream: &UpstreamEntry) -> Self {
        let mut refusal = broken(upstream);
        refusal.ran = RunOutcome::NotRun;
        Self {
            refusal,
            result: AttemptResult::Failed,
        }
    }
}

fn broken(upstream: &UpstreamEntry) -> RelayRefusal {
    let mut refusal = RelayRefusal::not_run(RefusalReason::Broken);
    refusal.ran = RunOutcome::Unknown;
    refusal.upstream = Some(upstream.name.clone());
    refusal
}

/// Requests an upstream from the shard actor.
pub(super) async fn place(
    shards: &Address<ShardActor>,
    clock: ProcessClock,
    envelope: &RelayEnvelope,
) -> Result<PlaceReply, RelayRefusal> {
    let (reply, answer) = oneshot::channel();
    let work = PlaceWork {
        deadline: clock.now() + Duration::from_millis(envelope.deadline_ms),
        id: envelope.request_id.clone(),
        priority: envelope.priority,
        reply,
        request: envelope.place.clone(),
        shard: envelope.shard.clone(),
        wait: envelope.wait,
        workspace: envelope.workspace.clone(),
    };
    let moved = || RelayRefusal::not_run(RefusalReason::Moved);
    shards.send(work).await.map_err(|_closed| moved())?;
    answer.await.map_err(|_closed| moved())?
}
