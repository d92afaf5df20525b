//! A server that refuses connections because a suspended keeper still holds its own: the
//! keeper that took over its lease leaves room for the probes of control.

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use keeper::{Connection, Effect, Event};
use plain::ErrorKind;

use crate::bench::Bench;

/// Connections that control leaves free of leases at each server.
const RESERVED: usize = 2;

/// A server with a limit on connections, and how many of them are open.
struct Full {
    server: &'static str,
    /// Connections that it accepts.
    accepted: usize,
    /// Connections of the suspended keeper.
    foreign: usize,
    open: Vec<Key<Connection>>,
}

impl Full {
    fn is_full(&self) -> bool {
        self.foreign + self.open.len() >= self.accepted
    }

    /// Executes the effects that concern connections to the server, until there are none.
    fn execute(&mut self, bench: &mut Bench) {
        for _ in 0..100 {
            let effects = std::mem::take(&mut bench.out);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Connect { conn, server, .. } if server.as_str() == self.server => {
                        self.connect(bench, conn);
                    }
                    Effect::Connect { conn, .. } => {
                        bench.report(conn, b'I', None, Mark::new(1, 100));
                    }
                    Effect::Close { conn } => {
                        self.open.retain(|open| *open != conn);
                        bench.feed(Event::Closed { conn });
                    }
                    _ => {}
                }
            }
        }
    }

    fn connect(&mut self, bench: &mut Bench, conn: Key<Connection>) {
        if self.is_full() {
            bench.feed(Event::Refused { conn, error_kind: ErrorKind::Full });
            bench.feed(Event::Closed { conn });
        } else {
            self.open.push(conn);
            bench.report(conn, b'I', None, Mark::new(1, 100));
        }
    }
}

/// Share of the ticks in two seconds at which the probe of control finds room, and the
/// connections that the keeper has at the end. `leased` connections are in its lease.
fn probe(foreign: usize, leased: u32, without: Without) -> (f64, usize) {
    let mut bench = Bench::new();
    bench.without = without;
    let accepted = leased as usize * 2 + RESERVED;
    let mut server = Full { server: "server-1", accepted, foreign, open: Vec::new() };
    for member in &mut bench.members {
        member.connections = leased;
        (member.slots, member.share) = (3, 3);
    }
    bench.set_up(Some("server-0"), 1, 11);
    server.execute(&mut bench);
    let mut found = 0;
    for _ in 0..200 {
        bench.pass(10);
        server.execute(&mut bench);
        found += usize::from(!server.is_full());
    }
    (found as f64 / 200.0, server.open.len())
}

#[test]
fn control_reaches_a_server_whose_connections_a_suspended_keeper_still_holds() {
    // two suspended keepers of the group, or one whose leases have moved twice
    let (found, open) = probe(7, 4, Without::default());
    assert!(found > 0.9, "control found room at {found} of the ticks");
    assert!(open >= 1, "the keeper has no connection left");
}

#[test]
fn a_keeper_uses_its_whole_lease_where_no_other_connection_is_open() {
    let (found, open) = probe(0, 4, Without::default());
    assert!((found - 1.0).abs() < f64::EPSILON);
    assert_eq!(open, 4);
}

#[test]
fn without_that_room_control_does_not_reach_the_server() {
    let without = Without::default().and(Mechanism::ControlRoom);
    let (found, _) = probe(7, 4, without);
    assert!(found < 0.1, "control found room at {found} of the ticks");
}
