//! Tests of marks, histories, statuses and arena keys.

use base::mark::Inclusion;
use base::prelude::*;

fn history(text: &str) -> History {
    text.parse().expect("a well-formed history")
}

fn status(term: u64, log_term: u64, received: u64, applied: u64, starts: &str) -> Status {
    Status {
        server: Name::new("s1").expect("a valid name"),
        incarnation: 1,
        term: Term(term),
        log_term: Term(log_term),
        received: Position(received),
        applied: Position(applied),
        role: Role::Replica,
        silence: Duration::ZERO,
        history: history(starts),
        version: 1,
    }
}

#[test]
fn decides_inclusion_by_the_start_of_the_next_term() {
    let log = history("1:0,3:10");
    assert_eq!(log.inclusion(Mark::new(1, 10)), Inclusion::Included);
    assert_eq!(log.inclusion(Mark::new(1, 11)), Inclusion::Truncated);
    assert_eq!(log.inclusion(Mark::new(2, 4)), Inclusion::Truncated);
    assert_eq!(log.inclusion(Mark::new(3, 90)), Inclusion::Included);
    assert_eq!(log.inclusion(Mark::new(4, 1)), Inclusion::Unknown);
}

#[test]
fn reports_terms_before_the_history_as_unknown() {
    assert_eq!(history("5:40").inclusion(Mark::new(4, 1)), Inclusion::Unknown);
}

#[test]
fn rejects_an_acknowledgement_of_a_fenced_server() {
    assert!(status(3, 3, 20, 20, "1:0,3:10").holds(Mark::new(3, 20)));
    assert!(!status(4, 3, 20, 20, "1:0,3:10").holds(Mark::new(3, 20)));
    assert!(!status(3, 1, 20, 20, "1:0").holds(Mark::new(3, 20)));
}

#[test]
fn shows_a_mark_of_an_earlier_term_by_its_history() {
    let server = status(3, 3, 20, 15, "1:0,3:10");
    assert!(server.shows(Mark::new(1, 9)));
    assert!(!server.shows(Mark::new(3, 16)));
    assert!(!status(3, 3, 20, 9, "1:0,3:10").shows(Mark::new(1, 12)));
    assert!(!status(1, 1, 20, 20, "1:0").shows(Mark::new(3, 11)));
}

#[test]
fn drops_terms_after_a_truncation() {
    let mut log = history("1:0,3:10,4:12");
    log.truncate(Position(11));
    assert_eq!(log, history("1:0,3:10"));
}

#[test]
fn never_finds_a_value_by_a_stale_key() {
    let mut arena = Arena::new();
    let first = arena.insert(1);
    assert_eq!(arena.remove(first), Some(1));
    let second = arena.insert(2);
    assert_eq!(arena.get(first), None);
    assert_eq!(arena.get(second), Some(&2));
    assert_eq!(Key::from_bits(second.to_bits()), second);
}
