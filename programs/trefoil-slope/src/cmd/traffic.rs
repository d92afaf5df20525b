//! Measures the bytes of control that each entry receives, in virtual time: the log in
//! full, by kind of command, and the updates that members send instead. Heartbeats and the
//! headers of TCP and IP are not counted.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use config::Database;
use control::feed::{Feed, Known};
use control::leader::TICK;
use control::lease::HEARTBEAT_INTERVAL;
use control::{Ask, Effect, Event, Leader, State};
use serde::Serialize;
use wire::Message;
use wire::control::{Down, Entries, Entry, Update, down};
use wire::log::{Command, Join, Replace, command::Body};

use super::lead::healthy_status;
use crate::size::{self, Size};

const SIZE: Size = Size { entries: 300, groups: 80, services: 0 };

/// Number of hosts that may keep groups.
const KEEPER_HOSTS: usize = 26;

/// Databases and teams of the editions.
const DATABASES: usize = 160;
const TEAMS: usize = 84;

/// Length of the frame that precedes each message, in bytes.
const FRAME_BYTES: usize = link::frame::LENGTH_BYTES;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    phase: &'static str,
    seconds: f64,
    commands: BTreeMap<&'static str, usize>,
    /// Bytes of the log in full on the link of each entry, by kind of command.
    log_bytes: BTreeMap<&'static str, usize>,
    log_bytes_total: usize,
    /// Bytes of updates on the link of an entry that keeps no group, and that of one that
    /// may keep some, on average.
    update_bytes_weak: usize,
    update_bytes_strong: usize,
    /// Bytes of images and the updates that complete them, on average over all entries.
    image_bytes: usize,
}

/// An entry of the measurement.
#[derive(Clone, Debug, Default)]
struct Host {
    incarnation: u64,
    up: bool,
    known: Option<Known>,
}

struct World {
    now: Instant,
    ticks: u32,
    state: State,
    feed: Feed,
    leader: Leader,
    hosts: Vec<Host>,
    answers: Vec<Event>,
    edition: u64,
    commands: BTreeMap<&'static str, usize>,
    log_bytes: BTreeMap<&'static str, usize>,
    update_bytes: [usize; 2],
    image_bytes: usize,
    since: Instant,
}

pub(crate) fn run() {
    let mut world = World::new();
    for host in 0..SIZE.entries {
        // all hosts start within a second
        if host % 6 == 0 {
            world.round();
        }
        world.start(host);
    }
    world.run_for(Duration::from_secs(6));
    world.report("all hosts start");
    world.run_for(Duration::from_secs(10));
    world.report("rest");
    world.restart(0);
    world.run_for(Duration::from_secs(10));
    world.report("one host that keeps groups restarts");
    world.restart(SIZE.entries - 1);
    world.run_for(Duration::from_secs(10));
    world.report("one host that keeps none restarts");
    for host in (0..SIZE.entries).step_by(10) {
        world.restart(host);
    }
    world.run_for(Duration::from_secs(10));
    world.report("a tenth of the hosts restarts in turn");
    for _ in 0..83 {
        world.replace();
        world.run_for(TICK * 3);
    }
    world.report("an edition every 60 ms");
}

impl World {
    fn new() -> Self {
        let mut state = State::default();
        let feed = Feed::new(Instant::ZERO, &state);
        state.skip_to(1);
        let mut world = Self {
            now: Instant::ZERO,
            ticks: 0,
            state,
            feed,
            leader: Leader::new(Instant::ZERO),
            hosts: vec![Host::default(); SIZE.entries],
            answers: Vec::new(),
            edition: 0,
            commands: BTreeMap::new(),
            log_bytes: BTreeMap::new(),
            update_bytes: [0; 2],
            image_bytes: 0,
            since: Instant::ZERO,
        };
        world.replace();
        for group in 0..SIZE.groups {
            for server in 0..size::SERVERS {
                world.apply(&Command { body: Some(size::announce(group, server)) });
            }
        }
        world
    }

    fn join(&self, host: usize) -> Join {
        let Body::Join(join) = size::join(host) else { unreachable!("a join") };
        let weight = if host < KEEPER_HOSTS { 4 } else { 1 };
        Join { incarnation: self.hosts[host].incarnation, sole: true, weight, ..join }
    }

    fn start(&mut self, host: usize) {
        self.hosts[host] =
            Host { incarnation: self.hosts[host].incarnation + 1, up: true, known: None };
        let join = self.join(host);
        self.feed_leader(Event::Joined(join));
    }

    /// Ends a host's process and starts it again after a second.
    fn restart(&mut self, host: usize) {
        self.hosts[host].up = false;
        self.run_for(Duration::from_secs(1));
        self.start(host);
    }

    /// Proposes an edition that changes one database.
    fn replace(&mut self) {
        self.edition += 1;
        let name = |text: String| text.parse::<Name>().expect("the name is valid");
        let mut declarations = size::build_declarations(SIZE);
        for at in 0..DATABASES {
            let database = Database {
                group: name(format!("group-{}", at % SIZE.groups)),
                age_ms: if at == 0 { self.edition } else { 0 },
                priority: 0,
                objective_ms: 250,
                limits: config::Limits::default(),
                public: false,
            };
            declarations.databases.insert(name(format!("database-{at}")), database);
        }
        let team = |at| (name(format!("team-{at}")), config::Team::default());
        declarations.teams = Some((0..TEAMS).map(team).collect());
        let text = declarations.canonical();
        self.apply(&Command { body: Some(Body::Replace(Replace::new(self.edition, &text, b""))) });
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.round();
        }
    }

    fn round(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        self.send_updates();
        let mut events = std::mem::take(&mut self.answers);
        events.push(Event::Tick);
        events.extend(self.heartbeats());
        if self.ticks.is_multiple_of(25) {
            // servers renew their announcements every 500 ms
            let servers =
                (0..SIZE.groups).flat_map(|group| (0..size::SERVERS).map(move |at| (group, at)));
            events.extend(servers.filter_map(|(group, server)| {
                match size::announce(group, server) {
                    Body::Announce(announce) => Some(Event::Announced(announce)),
                    _ => None,
                }
            }));
        }
        for event in events {
            self.feed_leader(event);
        }
    }

    /// Heartbeats of this round: each host sends one per interval, and one at once if it
    /// has to give a lease back.
    fn heartbeats(&self) -> Vec<Event> {
        let rounds = (HEARTBEAT_INTERVAL.as_micros() / TICK.as_micros()) as u32;
        let mut events = Vec::new();
        for (at, host) in self.hosts.iter().enumerate().filter(|(_, host)| host.up) {
            let Ok(entry) = Name::new(&self.join(at).entry) else { continue };
            let returning = |group: &control::Group| {
                let lease = group.lease(entry.as_str());
                lease.is_some_and(|l| l.returning && l.incarnation == host.incarnation)
            };
            let groups = self.state.groups.iter().filter(|_| at < KEEPER_HOSTS);
            let returned: Vec<Name> = groups
                .filter(|(_, group)| returning(group))
                .map(|(name, _)| name.clone())
                .collect();
            if !returned.is_empty() || (self.ticks + at as u32).is_multiple_of(rounds) {
                let (incarnation, applied) = (host.incarnation, self.state.index);
                events.push(Event::Heartbeat { entry, incarnation, applied, returned });
            }
        }
        events
    }

    fn feed_leader(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on(self.now, &self.state, event, &mut out);
        for effect in out {
            match effect {
                Effect::Propose(command) => self.apply(&command),
                Effect::Probe { group, server, ask, .. } => {
                    if ask == Ask::Status || !matches!(ask, Ask::Designate { .. }) {
                        let result = Ok(healthy_status(&server));
                        self.answers.push(Event::Probed { group, server, ask, result });
                    }
                }
            }
        }
    }

    fn apply(&mut self, command: &Command) {
        let index = self.state.index + 1;
        self.state.apply(index, command);
        self.feed.observe(self.now, &self.state, Some(command));
        let entries = Entries { entries: vec![Entry { index, command: Some(command.clone()) }] };
        let bytes = Down { body: Some(down::Body::Entries(entries)) }.encoded_len() + FRAME_BYTES;
        let kind = kind(command);
        *self.commands.entry(kind).or_default() += 1;
        *self.log_bytes.entry(kind).or_default() += bytes;
    }

    /// Sends each host what concerns it, as a member does.
    fn send_updates(&mut self) {
        let Self { state, feed, hosts, update_bytes, image_bytes, .. } = self;
        let mut shared: BTreeMap<Known, usize> = BTreeMap::new();
        let mut concerned: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        let reached = Known { index: state.index, version: state.version };
        for (at, host) in hosts.iter_mut().enumerate().filter(|(_, host)| host.up) {
            let name = format!("entry-{at}");
            let Some(known) = host.known.replace(reached) else {
                let image = state.encode_shared().len();
                *image_bytes += image + frame(feed.update(state, reached, &name, true));
                continue;
            };
            if known.index == state.index {
                continue;
            }
            let concerned =
                concerned.entry(known.index).or_insert_with(|| feed.concerned(known.index));
            let bytes = if concerned.contains(&name) {
                frame(feed.update(state, known, &name, false))
            } else {
                *shared.entry(known).or_insert_with(|| frame(feed.shared_update(state, known)))
            };
            update_bytes[usize::from(at < KEEPER_HOSTS)] += bytes;
        }
    }

    fn report(&mut self, phase: &'static str) {
        let log_bytes = std::mem::take(&mut self.log_bytes);
        let [weak, strong] = std::mem::take(&mut self.update_bytes);
        let row = Row {
            measure: "traffic",
            phase,
            seconds: self.now.since(self.since).as_secs_f64(),
            commands: std::mem::take(&mut self.commands),
            log_bytes_total: log_bytes.values().sum(),
            log_bytes,
            update_bytes_weak: weak / (SIZE.entries - KEEPER_HOSTS),
            update_bytes_strong: strong / KEEPER_HOSTS,
            image_bytes: std::mem::take(&mut self.image_bytes) / SIZE.entries,
        };
        self.since = self.now;
        println!("{}", serde_json::json!(row));
    }
}

/// Bytes of an update on the link; none if it contains nothing, since it isn't sent then.
fn frame(update: Update) -> usize {
    if update.content.is_empty() && update.packed.is_empty() {
        return 0;
    }
    Down { body: Some(down::Body::Update(update)) }.encoded_len() + FRAME_BYTES
}

fn kind(command: &Command) -> &'static str {
    match &command.body {
        Some(Body::Configure(_) | Body::Replace(_)) => "configure",
        Some(Body::Announce(_) | Body::Expire(_)) => "announce",
        Some(Body::Join(_)) => "join",
        Some(Body::Leave(_)) => "leave",
        Some(Body::Assign(_)) => "assign",
        Some(Body::Intend(_) | Body::Choose(_) | Body::Establish(_) | Body::Cover(_)) => "primary",
        Some(Body::Drain(_)) | None => "other",
    }
}
