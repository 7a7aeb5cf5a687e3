//! A daemon's own answers.

use {hyper::StatusCode, std::time::Duration, strum::IntoStaticStr};

/// An answer that no replica gave.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum LocalAnswer {
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body didn't come in time.
    BodyTimeout,
    /// The request may have run; its answer is lost.
    Lost,
    /// The head can't be read.
    Malformed,
    /// No route serves the host and path.
    NoRoute,
    /// The request didn't run and won't.
    Refused {
        /// Time after which it may come again.
        retry_after: Duration,
    },
    /// The time is over; the request may have run.
    TimedOut,
    /// No workspace has the key.
    UnknownKey,
}

impl LocalAnswer {
    /// Returns the answer's status.
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

/// Wait that is asked of callers of a daemon that can't serve yet or any more.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Wait that is asked of callers whose service has no room.
pub(crate) const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(300);
