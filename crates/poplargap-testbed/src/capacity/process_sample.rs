//! Processor time and memory of one process.

use std::{fs, io, time::Duration};

/// Ticks a second in which the system counts processes' time.
const TICKS_PER_SECOND: u32 = 100;

/// Position of the user time among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessSample {
    /// Processor time of all its threads.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl ProcessSample {
    /// Reads what the process `id` has used.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended.
    pub fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: u32 = fields
            .split_whitespace()
            .skip(USER_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u32>().ok())
            .sum();
        let kibibytes: u64 = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|value| value.split_whitespace().next())
            .and_then(|value| value.parse().ok())
            .unwrap_or_default();
        Ok(Self {
            processor: Duration::from_secs(1) * ticks / TICKS_PER_SECOND,
            resident: kibibytes * 1024,
        })
    }
}
