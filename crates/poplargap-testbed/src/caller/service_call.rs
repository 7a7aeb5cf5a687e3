//! One call of a plain service.

use warp::http::Method;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Class of work, when the caller names one.
    pub class: Option<String>,
    /// Key that makes repeated sends recognisable.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path behind the service's name, without a leading slash.
    pub path: String,
    /// Name of the request; unique.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
}
