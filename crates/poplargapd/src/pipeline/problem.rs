//! Errors as callers get them: RFC 9457 problem details with what is known about whether the
//! request ran.

use {
    poplargap_core::{name::RequestId, retry::RunOutcome},
    serde::Serialize,
    std::time::Duration,
    strum::{Display, IntoStaticStr},
    warp::{
        Reply,
        http::{
            HeaderValue, StatusCode,
            header::{CONTENT_TYPE, RETRY_AFTER},
        },
        reply::Response,
    },
};

/// Header that carries a request's id.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Stable code of a problem.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemCode {
    /// The body is longer than settings allow.
    BodyTooLarge,
    /// The body didn't arrive in time.
    BodyTimeout,
    /// The claim can't be written to the platform's store.
    ClaimUnavailable,
    /// The caller has several classes for the pool and named none.
    ClassRequired,
    /// The deadline can't be met.
    DeadlineExceeded,
    /// The idempotency key was used for another call.
    KeyReused,
    /// A limit of the class is reached.
    LimitReached,
    /// The request can't be read.
    MalformedRequest,
    /// The daemon has no catalogue yet or is closing.
    NotReady,
    /// No upstream of the pool is available.
    NoUpstream,
    /// The outcome of an earlier call with this key isn't known.
    OutcomeUnknown,
    /// The pool's queue or the daemon is full.
    QueueFull,
    /// No class of this name for this pool belongs to the workspace.
    UnknownClass,
    /// No workspace has this key.
    UnknownKey,
    /// No pool has this name.
    UnknownPool,
    /// The upstream failed and the request may not be repeated.
    UpstreamLost,
}

impl ProblemCode {
    fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::ClassRequired | Self::MalformedRequest => StatusCode::BAD_REQUEST,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Self::ClaimUnavailable | Self::NoUpstream | Self::NotReady | Self::QueueFull => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::UnknownClass => StatusCode::FORBIDDEN,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownPool => StatusCode::NOT_FOUND,
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "The request's body is too large",
            Self::BodyTimeout => "The request's body didn't arrive in time",
            Self::ClaimUnavailable => "The call can't be recorded, so it was not made",
            Self::ClassRequired => "The request must name its class",
            Self::DeadlineExceeded => "The deadline can't be met",
            Self::KeyReused => "The idempotency key belongs to another call",
            Self::LimitReached => "A limit of the class is reached",
            Self::MalformedRequest => "The request can't be read",
            Self::NotReady => "The daemon takes no requests now",
            Self::NoUpstream => "No upstream is up",
            Self::OutcomeUnknown => "The outcome of the call with this key isn't known",
            Self::QueueFull => "Too much work waits",
            Self::UnknownClass => "The workspace has no such class",
            Self::UnknownKey => "The bearer key belongs to no workspace",
            Self::UnknownPool => "No model or service has this name",
            Self::UpstreamLost => "The upstream was lost before its answer was whole",
        }
    }
}

/// An error that ends a request, with what is known about whether the request ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestProblem {
    /// The problem's stable code.
    pub code: ProblemCode,
    /// What exactly is wrong.
    pub detail: String,
    /// What is known about whether the request ran.
    pub ran: RunOutcome,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ProblemBody<'a> {
    code: &'a str,
    detail: &'a str,
    ran: RunOutcome,
    request_id: &'a str,
    status: u16,
    title: &'a str,
    #[serde(rename = "type")]
    kind: String,
}

impl RequestProblem {
    /// Creates the problem of a request of which nothing ran.
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self {
            code,
            detail,
            ran: RunOutcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates the problem of a request that may have run.
    pub fn unknown(code: ProblemCode, detail: impl Into<String>) -> Self {
        let mut problem = Self::not_run(code, detail);
        problem.ran = RunOutcome::Unknown;
        problem
    }

    /// Writes the problem as JSON.
    #[must_use]
    pub fn to_json(&self, id: &RequestId) -> String {
        let code: &str = self.code.into();
        let body = ProblemBody {
            code,
            detail: &self.detail,
            kind: format!("urn:poplargap:problem:{code}"),
            ran: self.ran,
            request_id: id.as_str(),
            status: self.code.status().as_u16(),
            title: self.code.title(),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Writes the problem as a response.
    #[must_use]
    pub fn into_response(self, id: &RequestId) -> Response {
        let mut response = self.to_json(id).into_response();
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Ok(id) = HeaderValue::from_str(id.as_str()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}
