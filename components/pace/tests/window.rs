//! The window of a server in slow start.

use base::prelude::*;
use pace::{Answer, Window};

const FULL: u32 = 8;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn answer(slowness: f64, peers: Option<f64>) -> Answer {
    Answer { sent: at(0), slowness: Some(slowness), peers, error: false, full: FULL }
}

/// A server in slow start.
struct Bench {
    window: Window,
    /// Time in milliseconds.
    now: u64,
}

fn started() -> Bench {
    let mut window = Window::default();
    window.on_started(at(0));
    Bench { window, now: 0 }
}

impl Bench {
    fn limit(&self) -> u32 {
        self.window.limit()
    }

    /// Answers a statement that was sent at `sent`.
    fn answer(&mut self, sent: u64, answer: &Answer) {
        self.window.on_answered(at(self.now), &Answer { sent: at(sent), ..*answer });
    }

    /// Fills the window and answers all of it, `rounds` times; returns the limits.
    fn rounds(&mut self, rounds: u32, answer: &Answer) -> Vec<u32> {
        let mut limits = Vec::new();
        for _ in 0..rounds {
            let (sent, limit) = (self.now, self.limit().min(FULL));
            for open in 1..=limit {
                self.window.on_sent(open);
            }
            self.now += 1;
            for _ in 0..limit {
                self.answer(sent, answer);
            }
            limits.push(self.limit());
        }
        limits
    }
}

/// Load: a server is used that has neither started nor recovered.
#[test]
fn a_server_outside_of_slow_start_is_not_limited() {
    assert_eq!(Window::default().limit(), u32::MAX);
}

/// Load: a server has started and answers as before.
#[test]
fn the_window_grows_from_one_and_slow_start_ends() {
    let mut bench = started();
    assert_eq!(bench.limit(), 1);
    let limits = bench.rounds(12, &answer(1.0, Some(1.0)));
    assert!(limits.is_sorted(), "{limits:?}");
    assert_eq!(limits.last(), Some(&u32::MAX), "{limits:?}");
}

/// Failure: a server is three times as slow as its peers, whatever the window.
#[test]
fn a_server_that_is_slower_than_twice_its_peers_gets_one_statement() {
    let mut bench = started();
    assert_eq!(bench.rounds(50, &answer(3.0, Some(1.0))), [1; 50]);
}

/// Failure: a primary is cold, and no peer can take its writes.
#[test]
fn a_slow_server_without_peers_is_limited_only_by_contention() {
    let mut bench = started();
    let limits = bench.rounds(12, &answer(3.0, None));
    assert_eq!(limits.last(), Some(&u32::MAX), "{limits:?}");
}

/// Failure: the run times rise with the number of concurrent statements, as with a cold cache.
#[test]
fn the_window_shrinks_where_it_causes_the_run_times_itself() {
    let mut bench = started();
    let mut limits = Vec::new();
    for _ in 0..200 {
        let limit = bench.limit();
        assert_ne!(limit, u32::MAX, "{limits:?}");
        let slowness = 1.0 + f64::from(limit - 1);
        limits.extend(bench.rounds(1, &answer(slowness, None)));
    }
    assert!(limits[20..].iter().all(|limit| *limit <= 4), "{limits:?}");
}

/// Failure: a server refuses statements.
#[test]
fn an_error_halves_the_window_at_once_and_never_closes_it() {
    let mut bench = started();
    while bench.limit() < 6 {
        bench.rounds(1, &answer(1.0, Some(1.0)));
    }
    let before = bench.limit();
    let error = Answer { error: true, ..answer(1.0, None) };
    bench.answer(bench.now, &error);
    assert!(bench.limit() <= before / 2);
    for _ in 0..10 {
        bench.answer(bench.now, &error);
    }
    assert_eq!(bench.limit(), 1);
}

/// Load: a server gets single statements only, which say little about concurrent ones.
#[test]
fn the_window_grows_slowly_while_it_is_not_filled() {
    let mut bench = started();
    bench.rounds(1, &answer(1.0, Some(1.0)));
    let limit = bench.limit();
    for _ in 0..3 {
        bench.window.on_sent(1);
        bench.answer(bench.now, &answer(1.0, Some(1.0)));
    }
    assert_eq!(bench.limit(), limit);
}

/// Failure: one of many statements is refused, and the answers to the others come after it.
/// They were sent into the larger window, but what is sent later counts at once.
#[test]
fn only_answers_to_what_was_sent_before_a_back_off_are_ignored() {
    let mut bench = started();
    while bench.limit() < 6 {
        bench.rounds(1, &answer(1.0, Some(1.0)));
    }
    let sent = bench.now;
    bench.now += 1;
    bench.answer(sent, &Answer { error: true, ..answer(1.0, None) });
    let shrunk = bench.limit();
    for _ in 0..5 {
        bench.answer(sent, &answer(9.0, None));
        bench.answer(sent, &Answer { error: true, ..answer(1.0, None) });
    }
    assert_eq!(bench.limit(), shrunk);
    let limits = bench.rounds(4, &answer(1.0, Some(1.0)));
    assert!(limits.last() > Some(&shrunk), "{limits:?}");
}
