//! A caller's request with checked headers.

use {
    poplargap_core::{
        instant::MonotonicInstant,
        name::{ChatId, ClassName, DataCentre, IdempotencyKey, PoolName, RequestId, UpstreamName},
    },
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
        time::Duration,
    },
    warp::http::HeaderMap,
};

/// Header that names the chat.
pub const CHAT_HEADER: &str = "x-chat-id";

/// Header that names the class of work.
pub const CLASS_HEADER: &str = "poplargap-class";

/// Header with the time within which the caller wants the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the key that makes repeated sends recognisable.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header with the routing hint, in answers and in the chat's next request.
pub const ROUTE_HEADER: &str = "poplargap-route";

/// Where a chat's last answer came from; a preference that may be ignored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteHint {
    /// The upstream's data centre.
    pub data_centre: DataCentre,
    /// The upstream.
    pub upstream: UpstreamName,
}

impl Display for RouteHint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.upstream)
    }
}

impl FromStr for RouteHint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = || "a routing hint has the form DATA-CENTRE/UPSTREAM".to_owned();
        let (data_centre, upstream) = text.split_once('/').ok_or_else(malformed)?;
        Ok(Self {
            data_centre: data_centre.parse().map_err(|_source| malformed())?,
            upstream: upstream.parse().map_err(|_source| malformed())?,
        })
    }
}

/// What a request calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallTarget {
    /// A chat completion; the body names the model.
    Chat,
    /// A plain service.
    Service {
        /// Type of the body.
        content_type: Option<String>,
        /// HTTP method.
        method: String,
        /// Path and query at the service.
        path: String,
        /// The service.
        pool: PoolName,
    },
}

/// A request with checked headers, without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When the request was accepted.
    pub accepted: MonotonicInstant,
    /// The bearer key.
    pub bearer: Option<String>,
    /// The chat.
    pub chat: Option<ChatId>,
    /// The class of work.
    pub class: Option<ClassName>,
    /// Time within which the caller wants the whole answer.
    pub deadline: Option<Duration>,
    /// Where the chat's last answer came from.
    pub hint: Option<RouteHint>,
    /// The request's id.
    pub id: RequestId,
    /// Key that makes repeated sends recognisable.
    pub idempotency_key: Option<IdempotencyKey>,
    /// What the request calls.
    pub target: CallTarget,
}

/// Reads headers and collects the errors in them.
struct HeaderReader<'a> {
    findings: Vec<String>,
    headers: &'a HeaderMap,
}

impl HeaderReader<'_> {
    fn read<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.headers.get(name)?;
        let parsed = value
            .to_str()
            .map_err(|_source| "the value holds characters that are not printable ASCII".to_owned())
            .and_then(|text| text.trim().parse::<T>().map_err(|error| error.to_string()));
        match parsed {
            Ok(value) => Some(value),
            Err(message) => {
                self.findings.push(format!("{name}: {message}"));
                None
            }
        }
    }

    fn bearer(&self) -> Option<String> {
        let text = self.headers.get("authorization")?.to_str().ok()?;
        let (scheme, key) = text.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then(|| key.trim().to_owned())
    }
}

impl CallerRequest {
    /// Reads a request's headers; `fresh_id` is used when the caller gives no id.
    ///
    /// A routing hint that can't be read is dropped, since it is only a hint.
    ///
    /// # Errors
    ///
    /// Returns all errors in the headers, and the request's id.
    pub fn read(
        headers: &HeaderMap,
        target: CallTarget,
        accepted: MonotonicInstant,
        fresh_id: RequestId,
    ) -> Result<Self, (RequestId, Vec<String>)> {
        let mut reader = HeaderReader {
            findings: Vec::new(),
            headers,
        };
        let id = reader
            .read(super::problem::REQUEST_ID_HEADER)
            .unwrap_or(fresh_id);
        let bearer = reader.bearer();
        let chat = reader.read(CHAT_HEADER);
        let class = reader.read(CLASS_HEADER);
        let deadline = reader.read(DEADLINE_HEADER).map(Duration::from_millis);
        let idempotency_key = reader.read(IDEMPOTENCY_HEADER);
        if !reader.findings.is_empty() {
            return Err((id, reader.findings));
        }
        let hint = reader.read(ROUTE_HEADER);
        Ok(Self {
            accepted,
            bearer,
            chat,
            class,
            deadline,
            hint,
            id,
            idempotency_key,
            target,
        })
    }
}
