//! Tests of the selection of a server for a read.

use base::prelude::*;
use route::{Candidate, Need, Ring, Sample, choose, qualify};

fn replica(log_term: u64, applied: u64, history: &str) -> Status {
    Status {
        server: Name::new("b").expect("a name"),
        incarnation: 1,
        term: Term(log_term),
        log_term: Term(log_term),
        received: Position(applied),
        applied: Position(applied),
        role: Role::Replica,
        silence: Duration::ZERO,
        history: history.parse().expect("a history"),
        version: 1,
    }
}

fn ring(samples: &[(u64, u64, u64)]) -> Ring {
    let mut ring = Ring::default();
    for (millis, term, position) in samples {
        let taken = Instant::from_millis(*millis);
        ring.push(Sample { taken, mark: Mark::new(*term, *position) });
    }
    ring
}

#[test]
fn a_replica_behind_the_floor_does_not_qualify() {
    let need = Need { floor: Some(Mark::new(1, 10)), since: None };
    assert_eq!(qualify(&replica(1, 9, "1:0"), need, &Ring::default()), None);
    let seen = qualify(&replica(1, 10, "1:0"), need, &Ring::default());
    assert_eq!(seen, Some(Some(Mark::new(1, 10))));
}

#[test]
fn the_age_is_that_of_the_youngest_sample_shown() {
    let ring = ring(&[(100, 1, 10), (200, 1, 20), (300, 1, 30)]);
    let at = |millis| Need { floor: None, since: Some(Instant::from_millis(millis)) };
    let replica = replica(1, 25, "1:0");
    assert_eq!(qualify(&replica, at(200), &ring), Some(Some(Mark::new(1, 20))));
    assert_eq!(qualify(&replica, at(201), &ring), None);
}

#[test]
fn a_replica_of_an_earlier_term_shows_no_later_sample() {
    let ring = ring(&[(100, 2, 5)]);
    let need = Need { floor: None, since: Some(Instant::from_millis(100)) };
    assert_eq!(qualify(&replica(1, 50, "1:0"), need, &ring), None);
}

#[test]
fn many_quick_samples_do_not_push_out_older_ones() {
    let samples: Vec<_> = (0..2_000).map(|millis| (millis, 1, millis)).collect();
    let ring = ring(&samples);
    assert!(ring.last_shown(&replica(1, 1_500, "1:0")).is_some());
    assert_eq!(ring.last().map(|last| last.mark), Some(Mark::new(1, 1_999)));
}

#[test]
fn servers_of_the_same_zone_go_first_then_free_slots_then_short_queues() {
    let with = |server, same_zone, free, waiting| Candidate {
        server,
        same_zone,
        free,
        waiting,
        cost: 0,
        unused: Duration::ZERO,
        probe: false,
        mark: None,
    };
    let best = |all: &[Candidate<u8>]| choose(all.iter().copied()).map(|found| found.server);
    assert_eq!(best(&[with(1, false, 3, 0), with(2, true, 1, 9)]), Some(2));
    assert_eq!(best(&[with(1, true, 0, 0), with(2, false, 1, 0)]), Some(2));
    assert_eq!(best(&[with(1, true, 1, 0), with(2, true, 2, 5)]), Some(2));
    assert_eq!(best(&[with(1, true, 2, 3), with(2, true, 2, 1)]), Some(2));
    assert_eq!(best(&[with(1, true, 0, 0)]), None);
}

/// Failure: a replica that is slow, or fails although it looks well, has the most free slots.
#[test]
fn the_lowest_cost_goes_before_free_slots_and_a_due_probe_before_all() {
    let with = |server, cost, free, probe, unused| Candidate {
        server,
        same_zone: false,
        free,
        waiting: 0,
        cost,
        unused: Duration::from_millis(unused),
        probe,
        mark: None,
    };
    let best = |all: &[Candidate<u8>]| choose(all.iter().copied()).map(|found| found.server);
    assert_eq!(best(&[with(1, 3_000, 4, false, 0), with(2, 1_500, 1, false, 0)]), Some(2));
    assert_eq!(best(&[with(1, 3_000, 1, true, 0), with(2, 1_000, 4, false, 0)]), Some(1));
    assert_eq!(best(&[with(1, 3_000, 0, true, 0), with(2, 1_000, 4, false, 0)]), Some(2));
    assert_eq!(best(&[with(1, 1_000, 4, false, 9), with(2, 1_000, 4, false, 3)]), Some(1));
}
