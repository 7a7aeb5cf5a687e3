use std::time::Duration;

/// Limits on a client's requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Longest request body in bytes.
    pub body_bytes_max: usize,
    /// Longest request head in bytes.
    pub header_bytes_max: usize,
    /// Longest time for a client to send a request's head.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
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
