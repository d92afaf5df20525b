//! All hosts come back at once: the keepers of a group get their leases back as soon as they have
//! joined again, without a wait for entries that may still come.

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use control::leader::TICK;
use control::planner::JOIN_WAIT;
use control::{Effect, Event, Leader, Leadership, State};
use wire::log::{Announce, Command, Join, Replace, command::Body};

struct World {
    now: Instant,
    state: State,
    leader: Leader,
}

impl World {
    fn new() -> Self {
        let (state, leader) = (State::default(), Leader::new(Instant::ZERO));
        let mut world = Self { now: Instant::ZERO, state, leader };
        let content = r#"{"groups":{"g":{"servers":15,"acknowledges":true}}}"#;
        world.commit(Body::Replace(Replace::new(1, content, b"")));
        world.commit(Body::Announce(Announce {
            server: "s0".to_owned(),
            incarnation: 1,
            group: "g".to_owned(),
            address: "127.0.0.1:7000".to_owned(),
            zone: "z".to_owned(),
            connections: 16,
            slots: 2,
            primary: true,
            ..Announce::default()
        }));
        world
    }

    fn commit(&mut self, body: Body) {
        let index = self.state.index + 1;
        self.state.apply(index, &Command { body: Some(body) });
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on(self.now, &self.state, event, &mut out);
        for effect in out {
            if let Effect::Propose(command) = effect {
                self.commit(command.body.unwrap());
                let index = self.state.index;
                self.tell(Event::Applied { index });
            }
        }
    }

    fn join(&mut self, entry: &str, incarnation: u64) {
        self.tell(Event::Joined(Join {
            entry: entry.to_owned(),
            incarnation,
            address: "127.0.0.1:1".to_owned(),
            zone: "z".to_owned(),
            sole: true,
            ..Join::default()
        }));
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.tell(Event::Tick);
        }
    }

    /// Entries that hold a lease with shares, with their incarnations.
    fn keepers(&self) -> Vec<(String, u64)> {
        let leases = self.state.groups["g"].leases.iter();
        leases.map(|lease| (lease.entry.clone(), lease.incarnation)).collect()
    }
}

fn started(without: Without) -> World {
    let mut world = World::new();
    for entry in ["e1", "e2", "e3"] {
        world.join(entry, 1);
    }
    world.pass(JOIN_WAIT * 2);
    assert_eq!(world.keepers().len(), 2);
    let leadership = Leadership { without, ..Leadership::default() };
    world.leader = Leader::with_leadership(world.now, leadership);
    world.pass(TICK);
    world
}

#[test]
fn keepers_that_have_joined_again_get_their_leases_at_once() {
    let mut world = started(Without::default());
    let before = world.keepers();
    for (entry, _) in &before {
        world.join(entry, 2);
        world.pass(TICK * 2);
    }
    world.pass(JOIN_WAIT / 3);
    let expected: Vec<_> = before.into_iter().map(|(entry, _)| (entry, 2)).collect();
    assert_eq!(world.keepers(), expected);
}

#[test]
fn another_entry_waits_for_the_keepers_that_may_still_join() {
    let mut world = started(Without::default());
    let before = world.keepers();
    for (entry, incarnation) in &before {
        let (entry, incarnation) = (Name::new(entry).unwrap(), *incarnation);
        world.tell(Event::Left { entry, incarnation });
    }
    world.pass(JOIN_WAIT / 2);
    assert_eq!(world.keepers(), []);
    world.pass(JOIN_WAIT * 3);
    let [(other, 1)] = &*world.keepers() else { panic!("no keeper") };
    assert!(before.iter().all(|(entry, _)| entry != other));
}

#[test]
fn without_the_last_keepers_all_wait_for_further_entries() {
    let mut world = started(Without::default().and(Mechanism::LastKeepers));
    for (entry, _) in world.keepers() {
        world.join(&entry, 2);
    }
    world.pass(JOIN_WAIT / 2);
    assert_eq!(world.keepers(), []);
}
