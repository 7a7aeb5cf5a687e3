//! The daemon's own answers.

use {hyper::StatusCode, std::time::Duration, strum::IntoStaticStr};

/// An answer that the daemon gives itself, without a replica's reply.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum LocalAnswer {
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body didn't arrive in time.
    BodyTimeout,
    /// The request may have run, but there is no reply.
    Lost,
    /// The head is invalid, or the body ended early.
    Malformed,
    /// No route serves the host and path.
    NoRoute,
    /// The request didn't run and won't run.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The deadline has passed, and the request may have run.
    TimedOut,
    /// No workspace has the key.
    UnknownKey,
}

impl LocalAnswer {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }
}

/// Retry-after time for callers of a daemon that has no routes yet or is shutting down.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-after time for callers of a service without free replicas.
pub(crate) const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-after time for callers whose prompt crashes replicas; it is blocked for minutes.
pub(crate) const BLOCKED_RETRY_AFTER: Duration = Duration::from_mins(1);
