use std::time::Duration;

/// What one client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Longest request body in bytes.
    pub body_bytes_max: usize,
    /// Longest request head in bytes.
    pub header_bytes_max: usize,
    /// Longest time that a request's head may take.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            body_bytes_max: 4 * 1024 * 1024,
            header_bytes_max: 16 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
