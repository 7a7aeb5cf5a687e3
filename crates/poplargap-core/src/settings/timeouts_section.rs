//! Settings of longest waits and of heartbeats.

use {crate::input::SectionReader, std::time::Duration};

/// Longest waits, and the times of heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeoutsSection {
    /// Longest wait between two events of an answer.
    pub between_events: Duration,
    /// Longest wait for a connection.
    pub connect: Duration,
    /// Longest time in which a closing daemon finishes what is in flight.
    pub drain: Duration,
    /// Longest wait for the first byte of an answer.
    pub first_byte: Duration,
    /// Time between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Longest time from sending an order to the end of carrying it out.
    pub order: Duration,
    /// Time to live of the lease of whoever gives orders.
    pub order_lease: Duration,
    /// Silence after which a peer is suspected.
    pub suspect: Duration,
    /// Longest time for which a caller may take no bytes.
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
            reader.add("suspect", "the time is shorter than two heartbeats");
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
