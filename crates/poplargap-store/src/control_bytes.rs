//! Counters of the network bytes of control traffic.

use {
    prometheus::{IntCounterVec, Opts, Registry},
    std::fmt::Debug,
};

/// Estimated size in bytes of the headers of one HTTP request or answer, first line included.
const HTTP_HEADERS_LEN: usize = 128;

/// Bytes in each direction for opening and closing a TCP connection.
const CONNECTION_LEN: usize = 240;

/// Size in bytes of the IP and TCP headers of one packet.
const PACKET_HEADERS_LEN: usize = 52;

/// Maximum payload of one TCP packet in bytes.
const PACKET_PAYLOAD_MAX: usize = 1_448;

/// Counts the bytes of control traffic by kind and direction; clones share their counts.
///
/// Payloads are counted exactly; headers are estimated with constants.
#[derive(Clone, Debug)]
pub struct ControlBytes(IntCounterVec);

impl ControlBytes {
    /// Creates counters at zero.
    ///
    /// # Panics
    ///
    /// Panics when the metric's constant name is invalid, which is a programming error.
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

    /// Adds the bytes for opening and closing one connection.
    pub fn add_connection(&self, kind: &str) {
        self.add_sent(kind, CONNECTION_LEN);
        self.add_received(kind, CONNECTION_LEN);
    }

    /// Adds one HTTP exchange with the given payload sizes, including headers and acknowledgements.
    pub fn add_exchange(&self, kind: &str, sent: usize, received: usize) {
        let ack_len = |payload: usize| PACKET_HEADERS_LEN * packet_count(payload);
        let message_len = |payload: usize| {
            payload + HTTP_HEADERS_LEN + PACKET_HEADERS_LEN * packet_count(payload)
        };
        self.add_sent(kind, message_len(sent) + ack_len(received));
        self.add_received(kind, message_len(received) + ack_len(sent));
    }

    /// Returns the bytes counted for `kind` in both directions.
    #[must_use]
    pub fn total(&self, kind: &str) -> u64 {
        ["received", "sent"]
            .iter()
            .map(|direction| self.0.with_label_values(&[kind, direction]).get())
            .sum()
    }

    /// Registers the counters.
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

/// Returns the number of packets for a payload with its HTTP headers.
fn packet_count(payload: usize) -> usize {
    (payload + HTTP_HEADERS_LEN).div_ceil(PACKET_PAYLOAD_MAX)
}
