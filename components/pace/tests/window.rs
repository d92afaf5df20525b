//! The window of a server in slow start.

use base::prelude::*;
use pace::{Answer, Window};

const FULL: u32 = 8;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn answer(slowness: f64, peers: Option<f64>) -> Answer {
    Answer { slowness: Some(slowness), peers, error: false, full: FULL }
}

fn started() -> Window {
    let mut window = Window::default();
    window.on_started(at(0));
    window
}

/// Fills the window and answers all of it, `rounds` times; returns the limits.
fn rounds(window: &mut Window, rounds: u32, answer: &Answer) -> Vec<u32> {
    let mut limits = Vec::new();
    for _ in 0..rounds {
        let limit = window.limit(at(0)).min(FULL);
        for open in 1..=limit {
            window.on_sent(at(0), open);
        }
        for _ in 0..limit {
            window.on_answered(at(0), answer);
        }
        limits.push(window.limit(at(0)));
    }
    limits
}

/// Load: a server is used that has neither started nor recovered.
#[test]
fn a_server_outside_of_slow_start_is_not_limited() {
    assert_eq!(Window::default().limit(at(0)), u32::MAX);
}

/// Load: a server has started and answers as before.
#[test]
fn the_window_grows_from_one_and_slow_start_ends() {
    let mut window = started();
    assert_eq!(window.limit(at(0)), 1);
    let limits = rounds(&mut window, 12, &answer(1.0, Some(1.0)));
    assert!(limits.is_sorted(), "{limits:?}");
    assert_eq!(limits.last(), Some(&u32::MAX), "{limits:?}");
}

/// Failure: a server is three times as slow as its peers, whatever the window.
#[test]
fn a_server_that_is_slower_than_twice_its_peers_gets_one_statement() {
    let mut window = started();
    assert_eq!(rounds(&mut window, 50, &answer(3.0, Some(1.0))), [1; 50]);
}

/// Failure: a primary is cold, and no peer can take its writes.
#[test]
fn a_slow_server_without_peers_is_limited_only_by_contention() {
    let mut window = started();
    let limits = rounds(&mut window, 12, &answer(3.0, None));
    assert_eq!(limits.last(), Some(&u32::MAX), "{limits:?}");
}

/// Failure: the run times rise with the number of concurrent statements, as with a cold cache.
#[test]
fn the_window_shrinks_where_it_causes_the_run_times_itself() {
    let mut window = started();
    let mut limits = Vec::new();
    for _ in 0..200 {
        let limit = window.limit(at(0));
        assert_ne!(limit, u32::MAX, "{limits:?}");
        let slowness = 1.0 + f64::from(limit - 1);
        limits.extend(rounds(&mut window, 1, &answer(slowness, None)));
    }
    assert!(limits[20..].iter().all(|limit| *limit <= 4), "{limits:?}");
}

/// Failure: a server refuses statements.
#[test]
fn an_error_halves_the_window_at_once_and_never_closes_it() {
    let mut window = started();
    while window.limit(at(0)) < 6 {
        rounds(&mut window, 1, &answer(1.0, Some(1.0)));
    }
    let before = window.limit(at(0));
    window.on_answered(at(0), &Answer { error: true, ..answer(1.0, None) });
    assert!(window.limit(at(0)) <= before / 2);
    for _ in 0..10 {
        window.on_answered(at(0), &Answer { error: true, ..answer(1.0, None) });
    }
    assert_eq!(window.limit(at(0)), 1);
}

/// Load: a server gets single statements only, which say little about concurrent ones.
#[test]
fn the_window_grows_slowly_while_it_is_not_filled() {
    let mut window = started();
    rounds(&mut window, 1, &answer(1.0, Some(1.0)));
    let limit = window.limit(at(0));
    for _ in 0..3 {
        window.on_sent(at(0), 1);
        window.on_answered(at(0), &answer(1.0, Some(1.0)));
    }
    assert_eq!(window.limit(at(0)), limit);
}
