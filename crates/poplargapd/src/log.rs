//! The daemon's log.

use {
    poplargap_core::settings::{LogFormat, LogLevel, LogSection},
    slog::{Drain, Level, LevelFilter, Logger, o},
    slog_async::{Async, OverflowStrategy},
    slog_json::Json,
    slog_term::{FullFormat, TermDecorator},
    std::io,
};

/// Most lines that wait to be written to standard output.
const LINES_MAX: usize = 4_096;

/// Creates a log on standard error with the format and level of `section`.
pub fn create(section: &LogSection) -> Logger {
    let level = level(section.level);
    match section.format {
        LogFormat::Json => {
            let drain = Json::default(io::stderr()).fuse();
            root(Async::new(drain).build(), level)
        }
        LogFormat::Terminal => {
            let drain = FullFormat::new(TermDecorator::new().stderr().build())
                .build()
                .fuse();
            root(Async::new(drain).build(), level)
        }
    }
}

/// Creates a log of JSON lines on standard output.
///
/// Lines wait in a bounded queue. When the reader of standard output stalls, lines are dropped and
/// their number is reported, so that requests aren't held up.
pub fn create_output(level: Level) -> Logger {
    let drain = Json::new(io::stdout()).add_default_keys().build().fuse();
    let drain = Async::new(drain)
        .chan_size(LINES_MAX)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    root(drain, level)
}

fn root(drain: Async, level: Level) -> Logger {
    Logger::root(LevelFilter::new(drain.fuse(), level).fuse(), o!())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Trace => Level::Trace,
        LogLevel::Warning => Level::Warning,
    }
}
