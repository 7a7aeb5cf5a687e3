//! The record of what was sent, answered and run.

use std::{
    fs,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Lines with the time since the start.
pub struct Record {
    lines: Mutex<Vec<String>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: Mutex::default(),
            start: Instant::now(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.now(), text.as_ref());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = fs::write(path, lines.join("\n") + "\n") {
            eprintln!("the record can't be written: {error}");
        }
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}
