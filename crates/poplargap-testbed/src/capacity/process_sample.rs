//! Processor time and memory of one process.

use std::{fs, io, time::Duration};

/// Clock ticks per second of the times in `/proc/{id}/stat`.
const TICKS_PER_SECOND: u32 = 100;

/// Index of the user time among the fields after the program's name; the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Processor time and memory of a process when it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessSample {
    /// User and system time of all threads since the process started.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessSample {
    /// Reads the processor time and memory of the process `id` from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process's files can't be read, for example after it has ended.
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
            cpu_time: Duration::from_secs(1) * ticks / TICKS_PER_SECOND,
            resident_bytes: kibibytes * 1024,
        })
    }
}
