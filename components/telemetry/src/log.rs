//! Structured logs: human-readable lines on a terminal, JSON lines otherwise.
//!
//! Logs go to standard error, so that they don't mix with a program's own output,
//! or to standard output where logs are collected from there. Logging never blocks a
//! process: records wait in a queue. Records that don't fit into the queue, or that
//! exceed the rate limit of [`crate::budget`], are dropped and counted.

use std::io::IsTerminal;

use crate::budget::Budget;
use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

/// Number of records that may wait in the queue. Further records are dropped, and
/// their number is logged.
const QUEUE_RECORDS: usize = 4_096;

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Failures that a person must act on.
    Error,
    /// Conditions that a person may have to act on.
    Warning,
    /// Notable events.
    Info,
    /// Steps of each request.
    Debug,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// Human-readable lines on a terminal, JSON otherwise.
    Auto,
    /// Human-readable lines.
    Human,
    /// One JSON object per line.
    Json,
}

/// Destination of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Standard,
    /// Standard error.
    Error,
}

/// Makes the root logger of a program, which writes to standard error.
pub fn logger(program: &'static str, level: Level, format: Format) -> Logger {
    logger_to(Output::Error, program, level, format)
}

/// Makes the root logger of a program, which writes to `output`.
pub fn logger_to(output: Output, program: &'static str, level: Level, format: Format) -> Logger {
    let terminal = match output {
        Output::Standard => std::io::stdout().is_terminal(),
        Output::Error => std::io::stderr().is_terminal(),
    };
    let json = match format {
        Format::Auto => !terminal,
        Format::Human => false,
        Format::Json => true,
    };
    let level = match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let drain = if json {
        let time = FnValue(|_: &Record<'_>| {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since.unwrap_or_default().as_millis() as u64
        });
        let keys = o!(
            "msg" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
            "level" => FnValue(|record| record.level().as_str()),
            "time_ms" => time,
        );
        match output {
            Output::Standard => {
                let drain = slog_json::Json::new(std::io::stdout()).add_key_value(keys).build();
                queued(drain.fuse(), level)
            }
            Output::Error => {
                let drain = slog_json::Json::new(std::io::stderr()).add_key_value(keys).build();
                queued(drain.fuse(), level)
            }
        }
    } else {
        let decorator = match output {
            Output::Standard => slog_term::TermDecorator::new().stdout().build(),
            Output::Error => slog_term::TermDecorator::new().stderr().build(),
        };
        queued(slog_term::CompactFormat::new(decorator).build().fuse(), level)
    };
    Logger::root(Budget::new(drain).filter_level(level).fuse(), o!("program" => program))
}

/// Makes a logger whose callers never wait for the drain, even if the drain blocks.
pub fn asynchronous<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Logger::root(queued(drain, level), o!())
}

/// Puts a queue and a thread of its own in front of a drain.
fn queued<D>(drain: D, level: slog::Level) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level).fuse();
    slog_async::Async::new(filtered).chan_size(QUEUE_RECORDS).build().fuse()
}
