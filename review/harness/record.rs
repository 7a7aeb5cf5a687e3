//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static FILE: OnceLock<Mutex<File>> = OnceLock::new();
static START: OnceLock<Instant> = OnceLock::new();

pub fn open(path: &Path) {
    START.get_or_init(Instant::now);
    FILE.get_or_init(|| Mutex::new(File::create(path).expect("the record can be written")));
}

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to the record; a process of its own prints it for the one that started it.
pub fn record(line: &str) {
    match FILE.get() {
        Some(file) => {
            let mut file = file.lock().unwrap();
            let _ = writeln!(file, "{:8.3} s  {line}", now());
        }
        None => {
            println!("{line}");
            let _ = std::io::stdout().flush();
        }
    }
}

/// Writes a line to the record and to the standard output.
pub fn tell(line: &str) {
    record(line);
    println!("{line}");
}
