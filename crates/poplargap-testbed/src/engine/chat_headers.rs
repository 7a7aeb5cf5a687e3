//! Parsing of the request headers of a chat completion.

use {
    displaydoc::Display,
    poplargap_core::catalogue::PriorityClass,
    std::{str::FromStr, time::Duration},
    warp::http::HeaderMap,
};

/// A request header that is malformed or missing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(super) enum HeaderError {
    /// the header `{name}` can't be read
    Malformed {
        /// The header's name.
        name: &'static str,
    },
    /// the header `x-request-id` is missing
    NoRequestId,
}

impl std::error::Error for HeaderError {}

/// Parsed request headers of a chat completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ChatHeaders {
    pub(super) chat_id: Option<String>,
    pub(super) deadline: Option<Duration>,
    pub(super) from_index: usize,
    pub(super) priority: PriorityClass,
    pub(super) request_id: String,
}

impl TryFrom<&HeaderMap> for ChatHeaders {
    type Error = HeaderError;

    fn try_from(headers: &HeaderMap) -> Result<Self, HeaderError> {
        Ok(Self {
            chat_id: parse(headers, "x-chat-id")?,
            deadline: parse(headers, "x-deadline-ms")?.map(Duration::from_millis),
            from_index: parse(headers, "x-resume-from")?.unwrap_or(0),
            priority: parse(headers, "x-priority")?.unwrap_or(PriorityClass::Standard),
            request_id: parse(headers, "x-request-id")?.ok_or(HeaderError::NoRequestId)?,
        })
    }
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let Some(value) = text.and_then(|text| text.parse().ok()) else {
        return Err(HeaderError::Malformed { name });
    };
    Ok(Some(value))
}
