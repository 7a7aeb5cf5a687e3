//! Request to a plain service.

use warp::http::Method;

/// One request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name of the class, or `None` to send no class header.
    pub class: Option<String>,
    /// Key by which repeated sends are recognised, or `None` to send none.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path after the service's name, without a leading slash.
    pub path: String,
    /// Unique identifier of the request.
    pub request_id: String,
    /// Name of the service.
    pub service: String,
}
