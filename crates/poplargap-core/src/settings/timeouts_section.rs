//! Settings of the `timeouts` section: timeouts, and intervals of heartbeats.

use {crate::input::SectionReader, std::time::Duration};

/// Timeouts, and intervals of heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeoutsSection {
    /// Longest wait between two events of a streamed answer.
    pub between_events: Duration,
    /// Longest wait for a connection to be established.
    pub connect: Duration,
    /// Longest time for a daemon that shuts down to finish its requests in flight.
    pub drain: Duration,
    /// Longest wait for the first byte of an answer.
    pub first_byte: Duration,
    /// Interval between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Longest time from sending an order to an engine to the end of its execution.
    pub order: Duration,
    /// Time to live of the lease of the daemon that sends a data centre's orders.
    pub order_lease: Duration,
    /// Time without a heartbeat after which a peer is suspected to have failed.
    pub suspect: Duration,
    /// Longest time for which a caller may accept no bytes of its answer.
    pub write: Duration,
}

impl TimeoutsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let between_events = reader.duration("between-events");
        let connect = reader.duration("connect");
        let drain = reader.duration("drain");
        let first_byte = reader.duration("first-byte");
        let heartbeat = reader.duration("heartbeat");
        let order = reader.duration("order");
        let order_lease = reader.duration("order-lease");
        let suspect = reader.duration("suspect");
        let write = reader.duration("write");
        if let (Some(heartbeat), Some(suspect)) = (heartbeat, suspect)
            && suspect < heartbeat * 2
        {
            reader.add_finding("suspect", "the time is shorter than two heartbeats");
        }
        Some(Self {
            between_events: between_events?,
            connect: connect?,
            drain: drain?,
            first_byte: first_byte?,
            heartbeat: heartbeat?,
            order: order?,
            order_lease: order_lease?,
            suspect: suspect?,
            write: write?,
        })
    }
}
