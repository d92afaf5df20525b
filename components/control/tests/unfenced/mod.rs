//! A simulated unfenced group: three servers, two keepers and the leader of control.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

use std::collections::BTreeMap;

use base::prelude::*;
use control::leader::TICK;
use control::{Ask, Effect, Event, Leader, Leadership, Phase, ProbeError, State};
use wire::control::{Condition, Seal, Symptom};
use wire::log::{Announce, Command, Expire, Join, Replace, command};

pub const TOKEN: u64 = 7;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A simulated backend server.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub role: Role,
    pub mark: Mark,
    pub health: Health,
    pub incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    Refusing,
    Silent,
}

pub fn announcement(server: &str, incarnation: u64, leaving: bool) -> Announce {
    let port = 7_000 + server.trim_start_matches('s').parse::<u16>().unwrap();
    Announce {
        server: server.to_owned(),
        incarnation,
        group: "g".to_owned(),
        address: format!("127.0.0.1:{port}"),
        zone: "z".to_owned(),
        connections: 16,
        slots: 2,
        leaving,
        ..Announce::default()
    }
}

pub struct World {
    pub now: Instant,
    pub state: State,
    pub leader: Leader,
    pub servers: BTreeMap<Name, Server>,
    /// Probes in flight: when to answer, the server and the request.
    pub probes: Vec<(Instant, Name, Ask)>,
    /// Servers that were asked for their status.
    pub asked: Vec<Name>,
    /// Servers that were designated, with the fencing tokens.
    pub designated: Vec<(Name, u64)>,
    /// Whether designated servers become primary.
    pub accepts_designation: bool,
    /// Entries that send heartbeats, with their incarnations.
    pub heartbeats: Vec<(&'static str, u64)>,
    /// Number of the newest status report.
    pub version: u64,
}

impl World {
    /// Creates a group with a primary and two replicas, kept by two entries.
    pub fn new() -> Self {
        let leader = Leader::with_leadership(
            Instant::ZERO,
            Leadership { token: TOKEN, last_chosen: None, ..Leadership::default() },
        );
        let mut world = Self {
            now: Instant::ZERO,
            state: State::default(),
            leader,
            servers: BTreeMap::new(),
            probes: Vec::new(),
            asked: Vec::new(),
            designated: Vec::new(),
            accepts_designation: true,
            heartbeats: vec![("e1", 1), ("e2", 1)],
            version: 0,
        };
        let content = r#"{"groups":{"g":{"servers":15,"acknowledges":true}}}"#;
        world.commit(command::Body::Replace(Replace::new(1, content, b"")));
        for (index, server) in ["s0", "s1", "s2"].into_iter().enumerate() {
            let role = if index == 0 { Role::Primary } else { Role::Replica };
            let mark = Mark::new(1, 100);
            world
                .servers
                .insert(name(server), Server { role, mark, health: Health::Up, incarnation: 1 });
            world.announce(server, false);
        }
        for entry in ["e1", "e2"] {
            world.commit(command::Body::Join(Join {
                entry: entry.to_owned(),
                incarnation: 1,
                address: "127.0.0.1:1".to_owned(),
                zone: "z".to_owned(),
                ..Join::default()
            }));
        }
        world.pass(4_000);
        assert_eq!(world.primary(), Some("s0"));
        assert_eq!(world.state.groups["g"].leases.len(), 2);
        world
    }

    pub fn commit(&mut self, body: command::Body) {
        let index = self.state.index + 1;
        self.state.apply(index, &Command { body: Some(body) });
    }

    pub fn announce(&mut self, server: &str, leaving: bool) {
        let incarnation = self.servers[server].incarnation;
        self.commit(command::Body::Announce(announcement(server, incarnation, leaving)));
    }

    /// Stops the heartbeats of a keeper, for less than the duration of its lease.
    pub fn silence_a_keeper(&mut self) {
        self.pass_renewed(2_000);
        self.asked.clear();
        self.heartbeats = vec![("e1", 1)];
        self.pass_renewed(1_100);
    }

    /// Lets time pass while all servers renew their announcements.
    pub fn pass_renewed(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            for server in ["s0", "s1", "s2"] {
                self.tell(Event::Announced(announcement(server, 1, false)));
            }
            self.pass(100);
        }
    }

    pub fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on(self.now, &self.state, event, &mut out);
        for effect in out {
            match effect {
                Effect::Propose(command) => {
                    self.commit(command.body.unwrap());
                    let index = self.state.index;
                    self.tell(Event::Applied { index });
                }
                Effect::Probe { server, ask, .. } => {
                    if let Ask::Designate { token } = ask {
                        self.designated.push((server.clone(), token));
                    }
                    if ask == Ask::Status {
                        self.asked.push(server.clone());
                    }
                    self.probes.push((self.now + TICK, server, ask));
                }
            }
        }
    }

    /// Answers the probes that are due.
    pub fn answer(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.probes).into_iter().partition(|(at, ..)| *at <= now);
        self.probes = later;
        for (_, server, ask) in due {
            let known = self.servers[&server];
            // a request to a silent server stays in flight until the server is up again
            let lasting = now + Duration::from_millis(700);
            match known.health {
                Health::Silent => self.probes.push((lasting, server, ask)),
                Health::Refusing => self.record_result(server, ask, Err(ProbeError::Refused)),
                Health::Up => {
                    if matches!(ask, Ask::Designate { .. }) && self.accepts_designation {
                        self.lead(&server);
                    }
                    let status = self.report(&server);
                    self.record_result(server, ask, Ok(status));
                }
            }
        }
    }

    pub fn lead(&mut self, server: &Name) {
        let term = self.servers.values().map(|s| s.mark.term.0).max().unwrap() + 1;
        let server = self.servers.get_mut(server).unwrap();
        server.role = Role::Primary;
        server.mark = Mark::new(term, server.mark.position.0 + 1);
    }

    pub fn report(&mut self, server: &Name) -> Status {
        self.version += 1;
        let known = self.servers[server];
        Status {
            server: server.clone(),
            incarnation: 0,
            term: known.mark.term,
            log_term: known.mark.term,
            received: known.mark.position,
            applied: known.mark.position,
            role: known.role,
            silence: Duration::ZERO,
            history: History::default(),
            version: self.version,
        }
    }

    pub fn record_result(&mut self, server: Name, ask: Ask, result: Result<Status, ProbeError>) {
        self.tell(Event::Probed { group: name("g"), server, ask, result });
    }

    pub fn pass(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += TICK;
            for (entry, incarnation) in self.heartbeats.clone() {
                let (entry, applied) = (name(entry), self.state.index);
                self.tell(Event::Heartbeat { entry, incarnation, applied, returned: Vec::new() });
            }
            self.answer();
            self.tell(Event::Tick);
        }
    }

    pub fn set(&mut self, server: &str, health: Health) {
        self.servers.get_mut(server).unwrap().health = health;
    }

    /// A server that is leaving ends for good, with its log.
    pub fn depart(&mut self, server: &str) {
        let incarnation = self.servers[server].incarnation;
        let (server, left) = (server.to_owned(), true);
        self.set(&server, Health::Refusing);
        self.commit(command::Body::Expire(Expire { server, incarnation, left }));
    }

    /// A server starts without a log, under a new name or one that was used before.
    pub fn start_empty(&mut self, server: &str) {
        let incarnation = self.servers.get(server).map_or(1, |known| known.incarnation + 1);
        let (role, mark, health) = (Role::Replica, Mark::new(1, 0), Health::Up);
        self.servers.insert(name(server), Server { role, mark, health, incarnation });
        self.announce(server, false);
    }

    /// A keeper ends without a seal.
    pub fn lose_keeper(&mut self, entry: &'static str) {
        self.heartbeats.retain(|(known, _)| *known != entry);
        self.tell(Event::Left { entry: name(entry), incarnation: 1 });
    }

    /// All servers receive what the highest one holds.
    pub fn catch_up(&mut self) {
        let highest = self.servers.values().map(|server| server.mark).max().unwrap();
        self.servers.values_mut().for_each(|server| server.mark = highest);
    }

    pub fn set_position(&mut self, server: &str, position: u64) {
        self.servers.get_mut(server).unwrap().mark = Mark::new(1, position);
    }

    pub fn symptom(&mut self, entry: &str, condition: Condition) {
        let symptom = Symptom {
            group: "g".to_owned(),
            server: self.primary().unwrap().to_owned(),
            term: self.state.groups["g"].term.0,
            condition: condition as i32,
        };
        self.tell(Event::Symptom { entry: name(entry), symptom });
    }

    /// Reports the seal of a keeper that has acknowledged commits up to a position.
    pub fn seal(&mut self, entry: &str, position: u64) {
        self.seal_at(entry, position, self.state.index);
    }

    /// Reports the seal of a keeper whose last statement was sent at an index of the log.
    pub fn seal_at(&mut self, entry: &str, position: u64, index: u64) {
        let term = self.state.groups["g"].term.0;
        let mark = Some(Mark::new(1, position).into());
        let seal = Seal { group: "g".to_owned(), term, mark, index };
        self.tell(Event::Sealed { entry: name(entry), incarnation: 1, seal });
    }

    pub fn primary(&self) -> Option<&str> {
        let group = &self.state.groups["g"];
        group.primary.as_ref().filter(|_| group.phase == Phase::Settled).map(Name::as_str)
    }

    pub fn phase(&self) -> Phase {
        self.state.groups["g"].phase.clone()
    }

    /// Ends the primary's process; both keepers report the refused connections.
    pub fn crash(&mut self) {
        self.set("s0", Health::Refusing);
        self.symptom("e1", Condition::Refused);
        self.symptom("e2", Condition::Refused);
        self.pass(300);
        assert_eq!(self.phase(), Phase::Intended);
    }
}
