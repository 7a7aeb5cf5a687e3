//! Runs one call of a plain service at an upstream of a shard that this daemon owns.

use {
    super::{
        AttemptResult, ChatTask, PlaceReply, ServiceAnswer, ServiceRequest,
        chat_task::{AttemptFailure, RAN_HEADER, place},
    },
    poplargap_core::{catalogue::UpstreamEntry, retry::RunOutcome},
    poplargap_link::envelope::{RefusalReason, RelayRefusal, RelayWork},
    reqwest::{Method, RequestBuilder, Response, header::CONTENT_TYPE},
    std::time::Duration,
    tokio::time,
};

/// Runs service calls at upstreams of the shards that this daemon owns.
#[derive(Clone, Debug)]
pub struct ServiceTask(ChatTask);

impl ServiceTask {
    /// Creates a task from the parts that it shares with chats.
    #[must_use]
    pub fn new(task: ChatTask) -> Self {
        Self(task)
    }

    /// Makes the call once.
    ///
    /// # Errors
    ///
    /// Returns the refusal with what is known about whether the call ran.
    pub async fn run(&self, call: &ServiceRequest) -> Result<ServiceAnswer, RelayRefusal> {
        let reply = place(&self.0.shards, self.0.clock, &call.envelope).await?;
        let PlaceReply { permit, upstream } = reply;
        let deadline = Duration::from_millis(call.envelope.deadline_ms);
        let wait = if call.envelope.repeatable {
            self.0.clients.limits().repeatable_first_byte(deadline)
        } else {
            deadline
        };
        let attempt = time::timeout(wait, self.attempt(call, &upstream));
        let result = attempt.await.unwrap_or_else(|_elapsed| {
            self.0.clients.drop_pool(&upstream.name);
            Err(AttemptFailure::broken(&upstream))
        });
        match result {
            Ok(answer) => {
                permit.close(AttemptResult::Answered);
                Ok(answer)
            }
            Err(failure) => {
                permit.close(failure.result);
                Err(failure.refusal)
            }
        }
    }

    async fn attempt(
        &self,
        call: &ServiceRequest,
        upstream: &UpstreamEntry,
    ) -> Result<ServiceAnswer, AttemptFailure> {
        let request = self.request(call, upstream)?;
        let response = request.send().await.map_err(|error| {
            if error.is_connect() {
                return AttemptFailure::unreachable(upstream);
            }
            self.0.clients.drop_pool(&upstream.name);
            AttemptFailure::broken(upstream)
        })?;
        if response.headers().contains_key(RAN_HEADER) && !response.status().is_success() {
            return Err(AttemptFailure::refused(upstream, &response));
        }
        read_answer(response, upstream).await
    }

    fn request(
        &self,
        call: &ServiceRequest,
        upstream: &UpstreamEntry,
    ) -> Result<RequestBuilder, AttemptFailure> {
        let envelope = &call.envelope;
        let RelayWork::Service {
            content_type,
            idempotency_key,
            method,
            path,
        } = &envelope.work
        else {
            return Err(unreadable(upstream));
        };
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return Err(unreadable(upstream));
        };
        let clients = &self.0.clients;
        let client = if envelope.repeatable {
            clients.pooled(upstream)
        } else {
            clients.fresh()
        };
        let mut request = client
            .request(method, format!("http://{}{path}", upstream.address))
            .header("x-request-id", envelope.request_id.as_str())
            .header("x-priority", envelope.priority.to_string())
            .header("x-deadline-ms", envelope.deadline_ms)
            .body(call.body.clone());
        if let Some(content_type) = content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key.as_str());
        }
        Ok(request)
    }
}

async fn read_answer(
    response: Response,
    upstream: &UpstreamEntry,
) -> Result<ServiceAnswer, AttemptFailure> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(ToOwned::to_owned);
    let body = response
        .bytes()
        .await
        .map_err(|_source| AttemptFailure::broken(upstream))?;
    let upstream = upstream.name.clone();
    Ok(ServiceAnswer {
        body,
        content_type,
        status,
        upstream,
    })
}

fn unreadable(upstream: &UpstreamEntry) -> AttemptFailure {
    let mut failure = AttemptFailure::unreachable(upstream);
    failure.refusal.reason = RefusalReason::Unreadable;
    failure.refusal.ran = RunOutcome::NotRun;
    failure.result = AttemptResult::Abandoned;
    failure
}
