//! Updates of entries: whatever an entry is not sent must not concern it.

use base::prelude::*;
use config::{Declarations, Group as Declared};
use control::feed::{FORMER_KEEPER_TIME, Feed, Known};
use control::{Flaw, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::control::Update;
use wire::log::{
    Announce, Assign, Command, Drain, Establish, Expire, Intend, Join, Lease, Leave, Replace,
    Share, command::Body,
};

const ENTRIES: usize = 6;
const GROUPS: usize = 4;
const SERVERS: usize = 3;
const SEEDS: u64 = 80;
const STEPS: usize = 300;

fn entry_name(entry: usize) -> String {
    format!("e{entry}")
}

fn declarations(limit: u32, teams: bool) -> Declarations {
    let group = |at: usize| {
        let declared = Declared { servers: 3, connections: limit, ..Declared::default() };
        (Name::new(&format!("g{at}")).unwrap(), declared)
    };
    let teams = teams.then(Default::default);
    Declarations { groups: (0..GROUPS).map(group).collect(), teams, ..Declarations::default() }
}

/// An entry that follows one of two members.
struct Follower {
    name: String,
    member: usize,
    state: State,
    /// Whether the entry has received a state.
    started: bool,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    state: State,
    /// Feeds of two members, which send updates at different times.
    feeds: [Feed; 2],
    followers: Vec<Follower>,
    edition: u64,
    incarnations: [u64; ENTRIES],
}

impl World {
    fn new(seed: u64, flaw: Flaw) -> Self {
        let state = State::default();
        let feed = || Feed::with_flaw(Instant::ZERO, &state, flaw);
        let feeds = [feed(), feed()];
        let follower = |entry| Follower {
            name: entry_name(entry),
            member: entry % 2,
            state: State::default(),
            started: false,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::ZERO,
            state,
            feeds,
            followers: (0..ENTRIES).map(follower).collect(),
            edition: 0,
            incarnations: [1; ENTRIES],
        }
    }

    fn pick(&mut self, limit: usize) -> usize {
        self.rng.random_range(0..limit)
    }

    fn group(&mut self) -> String {
        format!("g{}", self.pick(GROUPS))
    }

    fn command(&mut self) -> Body {
        match self.pick(14) {
            0 => {
                self.edition += 1;
                let (limit, teams) = (20 + self.pick(3) as u32, self.pick(2) == 0);
                let content = declarations(limit, teams).canonical();
                Body::Replace(Replace::new(self.edition, &content, b"document"))
            }
            1 | 2 => {
                let group = self.group();
                let (number, slots) = (self.pick(SERVERS), 2 + self.pick(4) as u32);
                Body::Announce(Announce {
                    server: format!("{group}-{number}"),
                    incarnation: 1,
                    address: format!("10.0.{}.{number}:5432", group.trim_start_matches('g')),
                    group,
                    zone: "zone".to_owned(),
                    connections: 40,
                    slots,
                    ..Announce::default()
                })
            }
            3 => {
                let server = format!("{}-{}", self.group(), self.pick(SERVERS));
                Body::Expire(Expire { server, incarnation: 1, left: self.pick(4) == 0 })
            }
            4 | 5 => {
                let entry = self.pick(ENTRIES);
                self.incarnations[entry] += u64::from(self.pick(3) == 0);
                Body::Join(Join {
                    entry: entry_name(entry),
                    incarnation: self.incarnations[entry],
                    address: format!("10.1.0.{}:6433", entry + 1),
                    zone: "zone".to_owned(),
                    ..Join::default()
                })
            }
            6 => {
                let entry = self.pick(ENTRIES);
                let incarnation = self.incarnations[entry] - self.pick(2) as u64;
                Body::Leave(Leave { entry: entry_name(entry), incarnation, over: true })
            }
            7 => {
                let entry = entry_name(self.pick(ENTRIES));
                Body::Drain(Drain { entry, on: self.pick(2) == 0 })
            }
            8 => {
                let group = self.group();
                let term = self.state.groups.get(group.as_str()).map_or(1, |g| g.term.0 + 1);
                Body::Intend(Intend { group, term })
            }
            9 => {
                let group = self.group();
                let server = format!("{group}-{}", self.pick(SERVERS));
                let term = self.state.groups.get(group.as_str()).map_or(1, |g| g.term.0 + 1);
                Body::Establish(Establish { group, term, server })
            }
            _ => self.assign(),
        }
    }

    fn assign(&mut self) -> Body {
        let group = self.group();
        let first = self.pick(ENTRIES);
        let holders: Vec<usize> = (0..self.pick(3)).map(|at| (first + at) % ENTRIES).collect();
        let leases = holders.into_iter().map(|entry| {
            let share = |number: usize| Share {
                server: format!("{group}-{number}"),
                connections: 1 + number as u32,
                slots: 1,
            };
            let shares = (0..SERVERS).map(share);
            let known = |share: &Share| self.state.servers.contains_key(share.server.as_str());
            Lease {
                entry: entry_name(entry),
                incarnation: self.incarnations[entry],
                shares: shares.filter(known).collect(),
                returning: (entry + self.edition as usize).is_multiple_of(5),
            }
        });
        let leases = leases.collect();
        let base = self.state.groups.get(group.as_str()).map_or(0, |group| group.generation);
        Body::Assign(Assign { group, base, leases })
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(10);
        if self.pick(200) == 0 {
            self.now += FORMER_KEEPER_TIME;
        }
        let command = Command { body: Some(self.command()) };
        let index = self.state.index + 1;
        self.state.apply(index, &command);
        for feed in &mut self.feeds {
            feed.observe(self.now, &self.state, Some(&command));
        }
        for member in 0..2 {
            if self.pick(3) == 0 {
                self.update_followers(member);
            }
        }
        if self.pick(20) == 0 {
            let at = self.pick(ENTRIES);
            self.followers[at].member = self.pick(2);
        }
    }

    fn update_followers(&mut self, member: usize) {
        let feed = &mut self.feeds[member];
        for follower in self.followers.iter_mut().filter(|follower| follower.member == member) {
            let known = Known { index: follower.state.index, version: follower.state.version };
            if known.index >= self.state.index {
                continue;
            }
            if !follower.started {
                let image = State::decode(&self.state.encode_shared()).expect("an image");
                let known = Known { index: image.index, version: image.version };
                follower.state = image;
                let update = feed.update(&self.state, known, &follower.name, true);
                follower.state.update(&update).expect("an update");
                follower.started = true;
                continue;
            }
            let concerned = feed.concerned(known.index).contains(&follower.name);
            let update = if concerned {
                feed.update(&self.state, known, &follower.name, false)
            } else {
                feed.shared_update(&self.state, known)
            };
            follower.state.update(&update).expect("an update");
        }
    }

    /// Compares what each entry that is up to date holds with the state.
    fn check(&self) -> Result<(), String> {
        let current =
            |follower: &&Follower| follower.started && follower.state.index == self.state.index;
        for follower in self.followers.iter().filter(current) {
            self.check_entry(follower)
                .map_err(|what| format!("{} at {}: {what}", follower.name, self.state.index))?;
        }
        Ok(())
    }

    fn check_entry(&self, follower: &Follower) -> Result<(), String> {
        let (held, state) = (&follower.state, &self.state);
        if (held.version, held.edition) != (state.version, state.edition)
            || held.declarations != state.declarations
        {
            return Err("the declarations differ".to_owned());
        }
        let own = |state: &State| state.entries.get(follower.name.as_str()).cloned();
        if own(held) != own(state) {
            return Err("its own entry differs".to_owned());
        }
        for (name, group) in &state.groups {
            let default = control::Group::default();
            let known = held.groups.get(name).unwrap_or(&default);
            let holders = |group: &control::Group| {
                let lease =
                    |lease: &Lease| (lease.entry.clone(), lease.incarnation, lease.returning);
                group.leases.iter().map(lease).collect::<Vec<_>>()
            };
            if holders(known) != holders(group) {
                return Err(format!("the holders of {name} differ"));
            }
            for lease in &group.leases {
                let entry = |state: &State| state.entries.get(lease.entry.as_str()).cloned();
                if entry(held) != entry(state) {
                    return Err(format!("{} of {name} differs", lease.entry));
                }
            }
            if group.lease(&follower.name).is_some() {
                let whole =
                    |group: &control::Group| control::Group { generation: 0, ..group.clone() };
                if whole(known) != whole(group) {
                    return Err(format!("its group {name} differs"));
                }
                let servers = |state: &State| {
                    let server = |seat: &Name| state.servers.get(seat).cloned();
                    group.seats.iter().map(server).collect::<Vec<_>>()
                };
                if servers(held) != servers(state) {
                    return Err(format!("the servers of {name} differ"));
                }
            }
        }
        Ok(())
    }
}

fn run(seed: u64, flaw: Flaw) -> Result<(), String> {
    let mut world = World::new(seed, flaw);
    for _ in 0..STEPS {
        world.step();
        world.check()?;
    }
    Ok(())
}

/// Guards against a keeper that lacks a server, share or term of its group, and against a
/// front that tries a keeper at an old address.
#[test]
fn an_entry_has_all_that_concerns_it_at_each_index() {
    for seed in 0..SEEDS {
        if let Err(what) = run(seed, Flaw::None) {
            panic!("seed {seed}: {what}");
        }
    }
}

#[test]
fn the_checks_detect_a_feed_that_forgets_servers() {
    assert!((0..SEEDS).any(|seed| run(seed, Flaw::ForgetServers).is_err()));
}

/// Guards against the traffic of the log in full: what concerns no keeper and no
/// declaration must cost an uninvolved entry nothing.
#[test]
fn an_entry_that_keeps_nothing_gets_nothing_for_shares_servers_terms_and_other_joins() {
    let mut world = World::new(1, Flaw::None);
    let apply = |world: &mut World, body| {
        let command = Command { body: Some(body) };
        let index = world.state.index + 1;
        world.state.apply(index, &command);
        world.feeds[0].observe(world.now, &world.state, Some(&command));
    };
    let content = declarations(20, true).canonical();
    apply(&mut world, Body::Replace(Replace::new(1, &content, b"")));
    let known = Known { index: world.state.index, version: world.state.version };
    for number in 0..SERVERS {
        let announce = Announce {
            server: format!("g0-{number}"),
            incarnation: 1,
            group: "g0".to_owned(),
            address: format!("10.0.0.{}:5432", number + 1),
            zone: "zone".to_owned(),
            connections: 40,
            slots: 4,
            ..Announce::default()
        };
        apply(&mut world, Body::Announce(announce));
    }
    let join = Join {
        entry: "e9".to_owned(),
        incarnation: 1,
        address: "10.1.0.9:6433".to_owned(),
        zone: "zone".to_owned(),
        ..Join::default()
    };
    apply(&mut world, Body::Join(join));
    apply(&mut world, Body::Intend(Intend { group: "g0".to_owned(), term: 3 }));
    let update = world.feeds[0].shared_update(&world.state, known);
    let index = world.state.index;
    assert_eq!(update, Update { base: known.index, index, ..Update::default() });
}
