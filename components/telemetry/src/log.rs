//! Structured logs: a human form on a terminal, JSON lines otherwise.
//!
//! Logs go to standard error, so that a program's own output stays clean.

use std::io::IsTerminal;

use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

/// Records that may wait; more are dropped and counted in the log itself.
const QUEUE_RECORDS: usize = 4_096;

/// Least severity that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Failures that need a person.
    Error,
    /// Things that may need one.
    Warning,
    /// Events of note.
    Info,
    /// Steps of each request.
    Debug,
}

/// Form of the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// Human on a terminal, JSON otherwise.
    Auto,
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// Makes the root logger of a program.
pub fn logger(program: &'static str, level: Level, format: Format) -> Logger {
    let json = match format {
        Format::Auto => !std::io::stderr().is_terminal(),
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
        let drain = slog_json::Json::new(std::io::stderr()).add_key_value(keys).build();
        asynchronous(drain.fuse(), level)
    } else {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        asynchronous(slog_term::CompactFormat::new(decorator).build().fuse(), level)
    };
    Logger::root(drain.fuse(), o!("program" => program))
}

fn asynchronous<D>(drain: D, level: slog::Level) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level).fuse();
    slog_async::Async::new(filtered).chan_size(QUEUE_RECORDS).build().fuse()
}
