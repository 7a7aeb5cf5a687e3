//! Counts of bytes that control traffic takes on the network.

use {
    prometheus::{IntCounterVec, Opts, Registry},
    std::fmt::Debug,
};

/// Bytes of the headers of one HTTP request or answer, its first line included.
const HTTP_HEADERS_LEN: usize = 128;

/// Bytes that opening and closing a TCP connection takes in each direction.
const CONNECTION_LEN: usize = 240;

/// Bytes of the IP and TCP headers of one packet.
const PACKET_HEADERS_LEN: usize = 52;

/// Most bytes of payload in one TCP packet.
const PACKET_PAYLOAD_MAX: usize = 1_448;

/// Counts control bytes by kind and direction; clones share their counts.
///
/// Payloads are counted as they are, headers by constants.
#[derive(Clone, Debug)]
pub struct ControlBytes(IntCounterVec);

impl ControlBytes {
    /// Creates counters at zero.
    ///
    /// # Panics
    ///
    /// Panics when the metric's fixed name is invalid, which is a programming fault.
    #[must_use]
    pub fn new() -> Self {
        let bytes = Opts::new(
            "poplargap_control_bytes_total",
            "Bytes of control traffic by kind and direction, headers included",
        );
        let bytes = IntCounterVec::new(bytes, &["kind", "direction"]);
        Self(bytes.expect("name is valid"))
    }

    /// Adds bytes received, headers included.
    pub fn add_received(&self, kind: &str, len: usize) {
        self.add(kind, "received", len);
    }

    /// Adds bytes sent, headers included.
    pub fn add_sent(&self, kind: &str, len: usize) {
        self.add(kind, "sent", len);
    }

    /// Adds the opening and closing of one connection.
    pub fn add_connection(&self, kind: &str) {
        self.add_sent(kind, CONNECTION_LEN);
        self.add_received(kind, CONNECTION_LEN);
    }

    /// Adds one HTTP exchange by the payloads sent and received.
    pub fn add_exchange(&self, kind: &str, sent: usize, received: usize) {
        let acknowledged = |other: usize| PACKET_HEADERS_LEN * packets(other);
        let own = |len: usize| len + HTTP_HEADERS_LEN + PACKET_HEADERS_LEN * packets(len);
        self.add_sent(kind, own(sent) + acknowledged(received));
        self.add_received(kind, own(received) + acknowledged(sent));
    }

    /// Returns the bytes counted for `kind` in both directions.
    #[must_use]
    pub fn total(&self, kind: &str) -> u64 {
        ["received", "sent"]
            .iter()
            .map(|direction| self.0.with_label_values(&[kind, direction]).get())
            .sum()
    }

    /// Adds the counters to a registry.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry already holds a metric of the same name.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.0.clone()))
    }

    fn add(&self, kind: &str, direction: &str, len: usize) {
        let len = u64::try_from(len).unwrap_or(u64::MAX);
        self.0.with_label_values(&[kind, direction]).inc_by(len);
    }
}

impl Default for ControlBytes {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the packets that carry a message with its HTTP headers.
fn packets(payload: usize) -> usize {
    (payload + HTTP_HEADERS_LEN).div_ceil(PACKET_PAYLOAD_MAX)
}
