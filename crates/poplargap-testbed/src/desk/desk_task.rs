//! The task that owns a desk's state.

use {
    super::{BookingRecord, DeskLedger, DeskLoad},
    displaydoc::Display,
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

/// Reason why a desk's task didn't reply.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DeskTaskError {
    /// the desk is closed
    Closed,
}

impl std::error::Error for DeskTaskError {}

/// A message to the desk's task.
#[derive(Debug)]
pub(super) enum DeskMessage {
    Drain {
        draining: bool,
        reply: oneshot::Sender<()>,
    },
    End,
    Ledger {
        reply: oneshot::Sender<DeskLedger>,
    },
    Load {
        reply: oneshot::Sender<DeskLoad>,
    },
    Start {
        /// The call; the task sets `booking` and `time_ms`.
        record: BookingRecord,
        /// Receives the call's number, or `None` while the desk is draining.
        reply: oneshot::Sender<Option<u64>>,
    },
}

#[derive(Debug)]
struct DeskState {
    draining: bool,
    ledger: DeskLedger,
    running: usize,
    started_at: Instant,
}

/// Processes messages until all their senders have been dropped.
pub(super) async fn run(mut messages: mpsc::UnboundedReceiver<DeskMessage>) {
    let mut state = DeskState {
        draining: false,
        ledger: DeskLedger::default(),
        running: 0,
        started_at: Instant::now(),
    };
    while let Some(message) = messages.recv().await {
        state.handle(message);
    }
}

impl DeskState {
    fn handle(&mut self, message: DeskMessage) {
        // Sending a reply fails if the caller disconnected and its handler was dropped.
        match message {
            DeskMessage::Drain { draining, reply } => {
                self.draining = draining;
                let _sent = reply.send(());
            }
            DeskMessage::End => self.running -= 1,
            DeskMessage::Ledger { reply } => {
                let _sent = reply.send(self.ledger.clone());
            }
            DeskMessage::Load { reply } => {
                let _sent = reply.send(DeskLoad {
                    peak: self.ledger.peak,
                    running: self.running,
                    waiting: 0,
                });
            }
            DeskMessage::Start { record, reply } => {
                let _sent = reply.send(self.start(record));
            }
        }
    }

    fn start(&mut self, record: BookingRecord) -> Option<u64> {
        if self.draining {
            return None;
        }
        let booking = self.ledger.runs.len() as u64 + 1;
        self.ledger.runs.push(BookingRecord {
            booking,
            time_ms: millis(self.started_at.elapsed()),
            ..record
        });
        self.running += 1;
        self.ledger.peak = self.ledger.peak.max(self.running);
        Some(booking)
    }
}

fn millis(elapsed: Duration) -> u64 {
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
