//! The rate limit on the records that a process logs.

use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o, warn};
use telemetry::budget::{Budget, RECORDS_PER_SECOND};

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<String>>>);

impl Drain for Captured {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn a_flood_of_one_severity_does_not_suppress_others() {
    let captured = Captured::default();
    let log = Logger::root(Budget::new(captured.clone()).fuse(), o!());
    for _ in 0..RECORDS_PER_SECOND * 3 {
        info!(log, "ordinary");
    }
    warn!(log, "rare");
    let captured = captured.0.lock().unwrap();
    assert!(captured.iter().any(|text| text == "rare"));
    let ordinary = captured.iter().filter(|text| *text == "ordinary").count();
    // a new window may begin during the loop, so up to twice the limit is allowed
    assert!(ordinary as u32 <= RECORDS_PER_SECOND * 2, "{ordinary}");
}

#[test]
fn the_number_of_dropped_records_is_logged() {
    let captured = Captured::default();
    let log = Logger::root(Budget::new(captured.clone()).fuse(), o!());
    for _ in 0..RECORDS_PER_SECOND + 5 {
        info!(log, "ordinary");
    }
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    info!(log, "later");
    let captured = captured.0.lock().unwrap();
    assert!(captured.iter().any(|text| text == "records were left out"));
    assert_eq!(captured.last().map(String::as_str), Some("later"));
}

#[test]
fn a_blocked_output_does_not_block_callers() {
    struct Blocked;
    impl Drain for Blocked {
        type Ok = ();
        type Err = Never;

        fn log(&self, _: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
            loop {
                std::thread::park();
            }
        }
    }
    let log = telemetry::log::asynchronous(Blocked, slog::Level::Info);
    // far more records than the queue holds: the loop ends only if no call blocks
    for _ in 0..20_000 {
        info!(log, "a line that nobody reads");
    }
    // the thread of the drain stays blocked, so dropping the logger would hang on joining it
    std::mem::forget(log);
}
