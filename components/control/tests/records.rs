//! Random changes of primary in an unfenced group, under crashes, partitions, lost keepers,
//! replicas that receive nothing, and servers that leave, are added, or come back without
//! their log. A promotion takes a while, and an old primary leads on until it has reached the
//! new one. The server that leads next holds all records that were acknowledged, and a server
//! is established only while it leads.

mod unfenced;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::prelude::*;
use control::{Event, Phase};
use wire::control::{Condition, Seal};
use wire::log::{Join, command};

use unfenced::{Health, World, announcement, name};

/// Number of seeds to run.
const SEEDS: u64 = 1_500;

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const BYTES: u64 = 4_096;

/// Steps of one case.
const STEPS: usize = 160;

/// Time between two steps, in milliseconds.
const STEP: u64 = 60;

/// Time from the call that promotes a server until the server leads.
const PROMOTION: Duration = Duration::from_millis(600);

/// Time for which an old primary must reach the new one before it steps down.
const STEP_DOWN: Duration = Duration::from_secs(1);

/// Records that a primary may write beyond those that a replica has received.
const MAX_TAIL: u64 = 5;

const ENTRIES: [&str; 2] = ["e1", "e2"];

/// The servers' logs and the keepers, which the leader knows by reports only.
struct Model {
    world: World,
    /// Server that the platform regards as the primary.
    leader: Name,
    /// Servers that receive nothing.
    deaf: Vec<Name>,
    /// Servers that are leaving.
    leaving: Vec<Name>,
    /// Servers that have left.
    gone: Vec<Name>,
    /// Highest record that was acknowledged and that some server still holds.
    acknowledged: Mark,
    keepers: BTreeMap<&'static str, Keeper>,
    /// Calls that promote a server: when each takes effect, and the incarnation called for.
    promotions: Vec<(Instant, Name, u64)>,
    /// Old primaries, and since when each has reached the new one.
    old: BTreeMap<Name, Instant>,
    /// Promotions that have taken effect.
    led: usize,
    servers: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Keeper {
    incarnation: u64,
    up: bool,
    sealed: u64,
    /// Highest mark that it acknowledged, and the index when it sent the statement.
    acknowledged: Option<(Mark, u64)>,
}

impl Model {
    fn new() -> Self {
        let mut world = World::new();
        world.accepts_designation = false;
        let acknowledged = Some((Mark::new(1, 100), world.state.index));
        let keeper = Keeper { incarnation: 1, up: true, sealed: 0, acknowledged };
        Self {
            world,
            leader: name("s0"),
            deaf: Vec::new(),
            leaving: Vec::new(),
            gone: Vec::new(),
            acknowledged: Mark::new(1, 100),
            keepers: ENTRIES.into_iter().map(|entry| (entry, keeper)).collect(),
            promotions: Vec::new(),
            old: BTreeMap::new(),
            led: 0,
            servers: 3,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 4)? {
            self.disturb(u)?;
        }
        self.replicate(&self.leader.clone());
        self.write(u)?;
        self.report();
        self.world.pass(STEP);
        self.call();
        self.lead();
        self.step_down();
        self.check();
        Ok(())
    }

    fn members(&self) -> Vec<Name> {
        let present = |server: &&Name| !self.gone.contains(server);
        self.world.servers.keys().filter(present).cloned().collect()
    }

    fn is_up(&self, server: &Name) -> bool {
        self.world.servers[server].health == Health::Up
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = u.choose(&self.members())?.clone();
        match u.int_in_range(0..=11)? {
            0 | 1 => {
                let silent = u.arbitrary()?;
                let health = if silent { Health::Silent } else { Health::Refusing };
                self.world.set(self.leader.clone().as_str(), health);
            }
            2 => self.world.set(server.as_str(), Health::Refusing),
            3..=5 => {
                for server in self.members() {
                    self.world.set(server.as_str(), Health::Up);
                }
            }
            6 => {
                self.deaf.push(server);
            }
            7 => self.deaf.clear(),
            8 if self.leaving.len() < 2 && !self.leaving.contains(&server) => {
                self.world.announce(server.as_str(), true);
                self.leaving.push(server);
                let next = format!("s{}", self.servers);
                self.servers += 1;
                self.world.start_empty(&next);
            }
            9 => {
                if let Some(server) = self.leaving.pop() {
                    self.world.depart(server.as_str());
                    self.gone.push(server);
                }
            }
            10 if server != self.leader && !self.leaving.contains(&server) => {
                self.world.start_empty(server.as_str());
            }
            _ => self.change_keeper(u)?,
        }
        self.forget_lost();
        Ok(())
    }

    /// Kills a keeper, or starts it again.
    fn change_keeper(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let entry = *u.choose(&ENTRIES)?;
        let keeper = self.keepers.get_mut(entry).unwrap();
        if keeper.up {
            keeper.up = false;
            self.world.heartbeats.retain(|(known, _)| *known != entry);
            return Ok(());
        }
        let incarnation = keeper.incarnation + 1;
        *keeper = Keeper { incarnation, up: true, ..Keeper::default() };
        self.world.heartbeats.push((entry, incarnation));
        self.world.commit(command::Body::Join(Join {
            entry: entry.to_owned(),
            incarnation,
            address: "127.0.0.1:1".to_owned(),
            zone: "z".to_owned(),
            sole: true,
            ..Join::default()
        }));
        Ok(())
    }

    /// Records that no server holds any more can't be kept.
    fn forget_lost(&mut self) {
        let held = self.members().iter().map(|server| self.world.servers[server].mark).max();
        self.acknowledged = self.acknowledged.min(held.unwrap_or_default());
    }

    /// Replicas receive the log of a primary, and lose what it doesn't hold.
    fn replicate(&mut self, primary: &Name) {
        if !self.is_up(primary) {
            return;
        }
        let mark = self.world.servers[primary].mark;
        for server in self.members() {
            let receives = self.is_up(&server)
                && !self.deaf.contains(&server)
                && !self.old.contains_key(&server);
            if server != *primary && receives {
                let known = self.world.servers.get_mut(&server).unwrap();
                (known.mark, known.role) = (mark, Role::Replica);
            }
        }
    }

    /// A keeper writes at the primary. The write is acknowledged if a replica receives it.
    fn write(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let entry = *u.choose(&ENTRIES)?;
        let primary = self.world.primary().map(str::to_owned);
        if primary.as_deref() != Some(self.leader.as_str()) || !self.is_up(&self.leader) {
            return Ok(());
        }
        let group = &self.world.state.groups["g"];
        let keeper = &self.keepers[entry];
        let holds = group.lease(entry).is_some_and(|l| l.incarnation == keeper.incarnation);
        if !(keeper.up && holds) {
            return Ok(());
        }
        let received = |server: &Name| {
            let follows = *server != self.leader && !self.old.contains_key(server);
            follows && self.is_up(server) && !self.deaf.contains(server)
        };
        let is_received = self.members().iter().any(received);
        let replicas = self.members().into_iter().filter(|server| *server != self.leader);
        let highest = replicas.map(|server| self.world.servers[&server].mark).max();
        let leader = self.leader.clone();
        let mark = self.world.servers[&leader].mark;
        let tail = mark.position.0.saturating_sub(highest.map_or(0, |mark| mark.position.0));
        if !is_received && tail >= MAX_TAIL {
            return Ok(());
        }
        let mark = Mark::new(mark.term.0, mark.position.0 + 1);
        self.world.servers.get_mut(&leader).unwrap().mark = mark;
        if is_received {
            self.replicate(&leader);
            self.acknowledged = mark;
            let index = self.world.state.index;
            self.keepers.get_mut(entry).unwrap().acknowledged = Some((mark, index));
        }
        Ok(())
    }

    /// Servers announce themselves, and keepers report symptoms and seals.
    fn report(&mut self) {
        for server in self.members() {
            if self.is_up(&server) {
                let leaving = self.leaving.contains(&server);
                let incarnation = self.world.servers[&server].incarnation;
                let announce = announcement(server.as_str(), incarnation, leaving);
                self.world.tell(Event::Announced(announce));
            }
        }
        let group = &self.world.state.groups["g"];
        let (term, phase) = (group.term.0, group.phase.clone());
        for (entry, keeper) in self.keepers.clone() {
            let group = &self.world.state.groups["g"];
            let holds = group.lease(entry).is_some_and(|l| l.incarnation == keeper.incarnation);
            if !(keeper.up && holds) {
                continue;
            }
            let primary = self.world.primary().map(name);
            if primary.is_some_and(|primary| !self.is_up(&primary)) {
                self.world.symptom(entry, Condition::Refused);
            }
            if phase != Phase::Settled && keeper.sealed < term {
                let (mark, index) = keeper.acknowledged.map_or((None, 0), |(m, i)| (Some(m), i));
                let mark = mark.map(Into::into);
                let seal = Seal { group: "g".to_owned(), term, mark, index };
                let incarnation = keeper.incarnation;
                self.world.tell(Event::Sealed { entry: name(entry), incarnation, seal });
                self.keepers.get_mut(entry).unwrap().sealed = term;
            }
        }
    }

    /// The platform takes the calls that promote a server. One for the present primary
    /// changes nothing.
    fn call(&mut self) {
        let calls: Vec<_> = self.world.designated.drain(..).collect();
        for (server, _) in calls {
            if server == self.leader || !self.is_up(&server) {
                continue;
            }
            let incarnation = self.world.servers[&server].incarnation;
            self.promotions.push((self.world.now + PROMOTION, server, incarnation));
        }
    }

    fn lead(&mut self) {
        let now = self.world.now;
        let (due, later) = self.promotions.drain(..).partition(|(at, ..)| *at <= now);
        self.promotions = later;
        let due: Vec<(Instant, Name, u64)> = due;
        for (_, server, incarnation) in due {
            let restarted = self.world.servers[&server].incarnation != incarnation;
            if server != self.leader && self.is_up(&server) && !restarted {
                self.promote(server);
            }
        }
    }

    fn promote(&mut self, server: Name) {
        let held = self.world.servers[&server].mark;
        let acknowledged = self.acknowledged;
        assert!(
            held >= acknowledged,
            "{server} leads with {held}, {acknowledged} was acknowledged"
        );
        self.led += 1;
        self.world.lead(&server);
        self.old.remove(&server);
        if self.world.servers[&self.leader].role == Role::Primary {
            self.old.insert(self.leader.clone(), self.world.now);
        }
        self.deaf.retain(|deaf| *deaf != server);
        self.leader = server;
    }

    /// Old primaries that have reached the new one for long enough follow it.
    fn step_down(&mut self) {
        let now = self.world.now;
        for server in self.old.keys().cloned().collect::<Vec<_>>() {
            if !(self.is_up(&server) && self.is_up(&self.leader)) {
                self.old.insert(server, now);
            } else if now.since(self.old[&server]) >= STEP_DOWN {
                self.old.remove(&server);
                self.world.servers.get_mut(&server).unwrap().role = Role::Replica;
            }
        }
    }

    fn check(&self) {
        let Some(primary) = self.world.primary() else { return };
        let server = &self.world.servers[primary];
        let acts = server.health == Health::Up && server.role == Role::Primary;
        let leads = primary == self.leader.as_str();
        assert!(leads || !acts, "{primary} is established, and {} leads", self.leader);
        if leads {
            let held = server.mark;
            assert!(held >= self.acknowledged, "{primary} is established with {held}");
        }
    }
}

#[test]
fn no_acknowledged_record_is_lost_in_random_changes_of_primary() {
    let mut led = 0;
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut model = Model::new();
            for _ in 0..STEPS {
                model.step(u)?;
            }
            led += model.led;
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
    assert!(led > SEEDS as usize, "only {led} changes of primary in {SEEDS} cases");
}
