//! A bound on what a process logs, so that a failure under load neither floods
//! the log nor costs the processor time that callers need.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Records a second that are passed on, of each severity.
pub const RECORDS_PER_SECOND: u32 = 100;

/// Time over which records are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What was passed on and left out in one window.
#[derive(Debug, Default)]
struct Window {
    began: Option<Instant>,
    passed: [u32; SEVERITIES],
    left_out: u64,
}

/// Severities that are counted apart: a flood of one hides no other.
const SEVERITIES: usize = 3;

/// Passes on a bounded number of records a second, and counts the others.
#[derive(Debug)]
pub struct Budget<D> {
    inner: D,
    window: Mutex<Window>,
}

impl<D> Budget<D> {
    /// Bounds what reaches `inner`.
    pub fn new(inner: D) -> Self {
        Self { inner, window: Mutex::default() }
    }

    /// Whether a record may pass at `now`, and how many were left out in a window
    /// that is over.
    fn admit(&self, now: Instant, level: Level) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let over = window.began.is_none_or(|began| now.duration_since(began) >= WINDOW);
        let left_out = if over { window.left_out } else { 0 };
        if over {
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
