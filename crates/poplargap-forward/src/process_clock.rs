//! The process's monotonic clock.

use {poplargap_core::instant::MonotonicInstant, tokio::time::Instant};

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        let start = Instant::now();
        Self { start }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonotonicInstant {
        MonotonicInstant::from_start(self.start.elapsed())
    }
}
