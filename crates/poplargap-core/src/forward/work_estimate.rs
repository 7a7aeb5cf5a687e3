use std::time::Duration;

/// Estimate before the first answer.
const WORK_DEFAULT: Duration = Duration::from_millis(30);

/// Change of the estimate after the first answer, as a part of it; it falls with further answers.
const FIRST_STEP: f64 = 0.3;

/// Least change of the estimate after an answer.
const STEP_MIN: f64 = 0.02;

/// Change after an answer that took longer, as a part of that after one that took less.
///
/// With it, three answers of ten take less than the estimate. The mean would follow the answers that
/// waited behind a queue which wasn't known yet, and a service would seem slow because it is full.
const LONGER_PART: f64 = 3.0 / 7.0;

/// Estimated time that a service's requests take at an idle replica of the usual pace.
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate {
    answers: u32,
    seconds: f64,
}

impl Default for WorkEstimate {
    fn default() -> Self {
        Self {
            answers: 0,
            seconds: WORK_DEFAULT.as_secs_f64(),
        }
    }
}

impl WorkEstimate {
    /// Adds an answer that took `time` where the pace and the queue made work `factor` times as long.
    pub fn record(&mut self, time: Duration, factor: f64) {
        self.answers = self.answers.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.answers)).max(STEP_MIN);
        let is_longer = time.as_secs_f64() > self.seconds * factor;
        self.seconds *= if is_longer {
            1.0 + step * LONGER_PART
        } else {
            1.0 - step
        };
    }

    /// Returns the estimated time.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
