//! Sends requests to other daemons, which own the shards.

use {
    super::{REFUSAL_EVENT, SILENCE_MAX_MS, STATUS_HEADER, UPSTREAM_COMMENT},
    crate::shards::{AnswerFrame, ServiceAnswer, ServiceRequest},
    bytes::Bytes,
    poplargap_core::{
        answer::EventSplitter,
        collections::{HashMap, HashMapExt},
        name::UpstreamName,
        retry::RunOutcome,
    },
    poplargap_link::{
        envelope::{
            ENVELOPE_HEADER, PROOF_HEADER, RELAY_PATH, RefusalReason, RelayEnvelope, RelayRefusal,
            UPSTREAM_HEADER,
        },
        proof::FleetProof,
    },
    reqwest::{Client, RequestBuilder, Response, StatusCode, header::CONTENT_TYPE},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::mpsc, time},
};

/// Frames of an answer that are buffered for a slow caller.
const FRAMES_MAX: usize = 32;

/// Attempts among which the remaining time of a repeatable call is divided, when it may queue.
const QUEUED_ATTEMPTS: u32 = 2;

/// Attempts among which the remaining time of a repeatable call is divided, when it doesn't queue.
const UNQUEUED_ATTEMPTS: u32 = 3;

const SILENCE_MAX: Duration = Duration::from_millis(SILENCE_MAX_MS);

/// Clients of other daemons' relay listeners; cheap to clone.
#[derive(Clone, Debug)]
pub struct RelayClient {
    connect: Duration,
    fresh: Client,
    pooled: Arc<Mutex<HashMap<SocketAddr, Client>>>,
    proof: FleetProof,
}

impl RelayClient {
    /// Creates clients without connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't start.
    pub fn new(connect: Duration, proof: FleetProof) -> Result<Self, reqwest::Error> {
        let fresh = crate::shards::build_client(connect, 0)?;
        let pooled = Arc::new(Mutex::new(HashMap::new()));
        Ok(Self {
            connect,
            fresh,
            pooled,
            proof,
        })
    }

    /// Sends a chat to its shard's owner and returns the frames of its answer.
    ///
    /// Dropping the receiver cancels the request.
    #[must_use]
    pub fn start_chat(
        &self,
        owner: SocketAddr,
        envelope: RelayEnvelope,
        body: Bytes,
    ) -> mpsc::Receiver<AnswerFrame> {
        let (frames, receiver) = mpsc::channel(FRAMES_MAX);
        let client = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = frames.closed() => {}
                () = client.run_chat(owner, &envelope, body, &frames) => {}
            }
        });
        receiver
    }

    /// Makes a service call through its shard's owner.
    ///
    /// # Errors
    ///
    /// Returns the refusal with what is known about whether the call ran.
    pub async fn call(
        &self,
        owner: SocketAddr,
        call: &ServiceRequest,
    ) -> Result<ServiceAnswer, RelayRefusal> {
        let wait = answer_wait(&call.envelope);
        let request = self.request(owner, &call.envelope, call.body.clone())?;
        let Ok(result) = time::timeout(wait, self.exchange(owner, request)).await else {
            self.drop_pool(owner);
            return Err(answer_lost());
        };
        result
    }

    async fn exchange(
        &self,
        owner: SocketAddr,
        request: RequestBuilder,
    ) -> Result<ServiceAnswer, RelayRefusal> {
        let sent = request.send().await;
        let response = sent.map_err(|error| self.send_failure(owner, &error))?;
        if response.status() != StatusCode::OK {
            return Err(read_refusal(response).await);
        }
        read_answer(response).await
    }

    async fn run_chat(
        &self,
        owner: SocketAddr,
        envelope: &RelayEnvelope,
        body: Bytes,
        frames: &mpsc::Sender<AnswerFrame>,
    ) {
        let result = self.forward_chat(owner, envelope, body, frames).await;
        let frame = match result {
            Ok(()) => AnswerFrame::Ended,
            Err(refusal) => AnswerFrame::Refused(refusal),
        };
        drop(frames.send(frame).await);
    }

    async fn forward_chat(
        &self,
        owner: SocketAddr,
        envelope: &RelayEnvelope,
        body: Bytes,
        frames: &mpsc::Sender<AnswerFrame>,
    ) -> Result<(), RelayRefusal> {
        let request = self.request(owner, envelope, body)?;
        let sent = time::timeout(SILENCE_MAX, request.send()).await;
        let sent = sent.map_err(|_elapsed| {
            self.drop_pool(owner);
            answer_lost()
        })?;
        let response = sent.map_err(|error| self.send_failure(owner, &error))?;
        if response.status() != StatusCode::OK {
            return Err(read_refusal(response).await);
        }
        let mut reader = FrameReader::new(response);
        while let Some(chunk) = reader
            .next_chunk()
            .await
            .inspect_err(|_refusal| self.drop_pool(owner))?
        {
            for frame in reader.frames(chunk)? {
                if frames.send(frame).await.is_err() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn request(
        &self,
        owner: SocketAddr,
        envelope: &RelayEnvelope,
        body: Bytes,
    ) -> Result<RequestBuilder, RelayRefusal> {
        let unreadable = |_source| RelayRefusal::not_run(RefusalReason::Unreadable);
        let text = serde_json::to_string(envelope).map_err(unreadable)?;
        let client = if envelope.repeatable {
            self.pooled(owner)
        } else {
            self.fresh.clone()
        };
        Ok(client
            .post(format!("http://{owner}{RELAY_PATH}"))
            .header(PROOF_HEADER, self.proof.as_str())
            .header(ENVELOPE_HEADER, text)
            .body(body))
    }

    fn pooled(&self, owner: SocketAddr) -> Client {
        let mut pooled = self.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = pooled.get(&owner) {
            return client.clone();
        }
        let Ok(client) = crate::shards::build_client(self.connect, usize::MAX) else {
            return self.fresh.clone();
        };
        pooled.insert(owner, client.clone());
        client
    }

    fn drop_pool(&self, owner: SocketAddr) {
        let mut pooled = self.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        pooled.remove(&owner);
    }

    fn send_failure(&self, owner: SocketAddr, error: &reqwest::Error) -> RelayRefusal {
        if error.is_connect() {
            return RelayRefusal::not_run(RefusalReason::Unreachable);
        }
        self.drop_pool(owner);
        answer_lost()
    }
}

/// Returns the longest wait for an owner's answer to a call.
///
/// A repeatable call leaves time for a further attempt over a new connection; one that doesn't
/// queue at the owner gets its answer or refusal sooner.
fn answer_wait(envelope: &RelayEnvelope) -> Duration {
    let deadline = Duration::from_millis(envelope.deadline_ms);
    match (envelope.repeatable, envelope.wait) {
        (false, _) => deadline,
        (true, false) => deadline / UNQUEUED_ATTEMPTS,
        (true, true) => deadline / QUEUED_ATTEMPTS,
    }
}

/// Returns the refusal of a request that was sent and not answered by the owner.
fn answer_lost() -> RelayRefusal {
    let mut refusal = RelayRefusal::not_run(RefusalReason::Unreachable);
    refusal.ran = RunOutcome::Unknown;
    refusal
}

async fn read_refusal(response: Response) -> RelayRefusal {
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return response
            .json()
            .await
            .unwrap_or_else(|_source| answer_lost());
    }
    // Only a 4xx status proves that the owner didn't start the request.
    if status.is_client_error() {
        return RelayRefusal::not_run(RefusalReason::Unreadable);
    }
    answer_lost()
}

async fn read_answer(response: Response) -> Result<ServiceAnswer, RelayRefusal> {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let status = header(STATUS_HEADER).and_then(|text| text.parse().ok());
    let upstream = header(UPSTREAM_HEADER).and_then(|text| UpstreamName::try_from(text).ok());
    let content_type = header(CONTENT_TYPE.as_str()).map(ToOwned::to_owned);
    let (Some(status), Some(upstream)) = (status, upstream) else {
        return Err(answer_lost());
    };
    let body = response.bytes().await.map_err(|_source| answer_lost())?;
    Ok(ServiceAnswer {
        body,
        content_type,
        status,
        upstream,
    })
}

/// Splits an owner's stream into frames.
///
/// The first event names the upstream or is a refusal; later chunks pass unchanged unless they end
/// with a refusal.
struct FrameReader {
    response: Response,
    splitter: EventSplitter,
    started: bool,
}

impl FrameReader {
    fn new(response: Response) -> Self {
        let splitter = EventSplitter::default();
        Self {
            response,
            splitter,
            started: false,
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayRefusal> {
        let chunk = time::timeout(SILENCE_MAX, self.response.chunk()).await;
        chunk
            .map_err(|_elapsed| answer_lost())?
            .map_err(|_source| answer_lost())
    }

    fn frames(&mut self, chunk: Bytes) -> Result<Vec<AnswerFrame>, RelayRefusal> {
        let broken = |_source| answer_lost();
        if self.started && !ends_with_refusal(&chunk) {
            return Ok(vec![AnswerFrame::Chunk(chunk)]);
        }
        let mut frames = Vec::new();
        self.splitter.push(chunk).map_err(broken)?;
        while let Some(event) = self.splitter.next_event() {
            if let Some(refusal) = event.strip_prefix(REFUSAL_EVENT) {
                return Err(serde_json::from_slice(refusal).unwrap_or_else(|_source| answer_lost()));
            }
            match upstream_of(&event) {
                Some(upstream) => {
                    self.started = true;
                    frames.push(AnswerFrame::Upstream(upstream));
                }
                None if self.started => frames.push(AnswerFrame::Chunk(event)),
                None => {}
            }
        }
        if self.started {
            frames.extend(self.splitter.take_rest().map(AnswerFrame::Chunk));
        }
        Ok(frames)
    }
}

/// Returns whether a chunk may hold a refusal, which is always a stream's last event.
fn ends_with_refusal(chunk: &[u8]) -> bool {
    chunk.ends_with(b"}\n\n") && memchr::memmem::rfind(chunk, REFUSAL_EVENT).is_some()
}

fn upstream_of(event: &[u8]) -> Option<UpstreamName> {
    let name = event.strip_prefix(UPSTREAM_COMMENT)?;
    let name = std::str::from_utf8(name).ok()?;
    UpstreamName::try_from(name.trim_end()).ok()
}
