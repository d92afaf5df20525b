//! A rate limit on the records that a process logs, so that a failure under load
//! neither floods the log nor takes CPU time from callers.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Maximum number of records of each counted severity that are logged per second.
pub const RECORDS_PER_SECOND: u32 = 100;

/// Time window in which records are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Numbers of records that were logged and dropped in one window.
#[derive(Debug, Default)]
struct Window {
    began: Option<Instant>,
    passed: [u32; SEVERITIES],
    left_out: u64,
}

/// Number of severities that are counted separately, so that a flood of one doesn't
/// suppress the others: errors, warnings, and all lower severities together.
const SEVERITIES: usize = 3;

/// Drain that passes a limited number of records to another drain, and drops and
/// counts the others.
#[derive(Debug)]
pub struct Budget<D> {
    inner: D,
    window: Mutex<Window>,
}

impl<D> Budget<D> {
    /// Limits the records that reach `inner`.
    pub fn new(inner: D) -> Self {
        Self { inner, window: Mutex::default() }
    }

    /// Whether a record may be logged at `now`, and the number of records dropped in the
    /// previous window if this record is the first of a new window, else zero.
    fn admit(&self, now: Instant, level: Level) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let has_ended = window.began.is_none_or(|began| now.duration_since(began) >= WINDOW);
        let left_out = if has_ended { window.left_out } else { 0 };
        if has_ended {
            *window = Window { began: Some(now), ..Window::default() };
        }
        let severity = match level {
            Level::Critical | Level::Error => 0,
            Level::Warning => 1,
            Level::Info | Level::Debug | Level::Trace => 2,
        };
        let passes = window.passed[severity] < RECORDS_PER_SECOND;
        if passes {
            window.passed[severity] += 1;
        } else {
            window.left_out += 1;
        }
        (passes, left_out)
    }
}

impl<D: Drain> Drain for Budget<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let (passes, left_out) = self.admit(Instant::now(), record.level());
        if left_out > 0 {
            self.inner.log(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("records were left out"),
                    b!("left_out" => left_out)
                ),
                values,
            )?;
        }
        if passes {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}
