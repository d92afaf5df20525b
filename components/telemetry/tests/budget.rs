//! The bound on what a process logs.

use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o, warn};
use telemetry::budget::{Budget, RECORDS_PER_SECOND};

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<String>>>);

impl Drain for Kept {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn a_flood_of_one_severity_hides_no_other() {
    let kept = Kept::default();
    let log = Logger::root(Budget::new(kept.clone()).fuse(), o!());
    for _ in 0..RECORDS_PER_SECOND * 3 {
        info!(log, "ordinary");
    }
    warn!(log, "rare");
    let kept = kept.0.lock().unwrap();
    assert!(kept.iter().any(|text| text == "rare"));
    let ordinary = kept.iter().filter(|text| *text == "ordinary").count();
    // a second may have begun anew in between
    assert!(ordinary as u32 <= RECORDS_PER_SECOND * 2, "{ordinary}");
}

#[test]
fn what_is_left_out_is_counted_in_the_log() {
    let kept = Kept::default();
    let log = Logger::root(Budget::new(kept.clone()).fuse(), o!());
    for _ in 0..RECORDS_PER_SECOND + 5 {
        info!(log, "ordinary");
    }
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    info!(log, "later");
    let kept = kept.0.lock().unwrap();
    assert!(kept.iter().any(|text| text == "records were left out"));
    assert_eq!(kept.last().map(String::as_str), Some("later"));
}

#[test]
fn a_blocked_output_stalls_nobody() {
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
    // far more than may wait; the loop ends only if none of them blocks
    for _ in 0..20_000 {
        info!(log, "a line that nobody reads");
    }
    // its thread is blocked for good, so it must not be joined
    std::mem::forget(log);
}
