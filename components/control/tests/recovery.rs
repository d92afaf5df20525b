//! Return of all hosts after all processes were killed.

use base::prelude::*;
use config::{Declarations, Group as Declared};
use control::leader::TICK;
use control::lease::HEARTBEAT_INTERVAL;
use control::{Ask, Effect, Event, Leader, State};
use wire::log::{Announce, Command, Join, Replace, command::Body};

const ENTRIES: usize = 300;
const STRONG: usize = 26;
const GROUPS: usize = 80;
const SERVERS: usize = 3;

/// Time that a quorum takes to commit a command on slow disks.
const COMMIT_TIME: Duration = Duration::from_millis(40);

/// Time over which the processes of all hosts start.
const START_TIME: Duration = Duration::from_secs(1);

/// Time from the start of the last process within which all groups must be served.
const LIMIT: Duration = Duration::from_secs(2);

fn server(group: usize, server: usize) -> Announce {
    Announce {
        server: format!("g{group}-{server}"),
        incarnation: 1,
        group: format!("g{group}"),
        address: format!("10.{server}.{}.{}:5432", group / 250, group % 250 + 1),
        zone: format!("z{server}"),
        connections: 40,
        slots: 4,
        primary: server == 0,
        ..Announce::default()
    }
}

fn status(server: &Name) -> Status {
    let is_primary = server.as_str().ends_with("-0");
    let mut history = History::default();
    history.begin(Term(1), Position(0));
    Status {
        server: server.clone(),
        incarnation: 1,
        term: Term(1),
        log_term: Term(1),
        received: Position(10),
        applied: Position(10),
        role: if is_primary { Role::Primary } else { Role::Replica },
        silence: Duration::ZERO,
        history,
        version: 1,
    }
}

struct World {
    now: Instant,
    state: State,
    leader: Leader,
    /// Commands that are not committed yet, with the time of the commit.
    proposed: Vec<(Instant, Command)>,
    answers: Vec<Event>,
    /// When each entry's process starts.
    starts: Vec<Instant>,
    incarnation: u64,
    commands: usize,
}

impl World {
    fn new() -> Self {
        let mut state = State::default();
        let declared = |at| {
            let group = Declared { servers: SERVERS as u32, ..Declared::default() };
            (Name::new(&format!("g{at}")).unwrap(), group)
        };
        let declarations =
            Declarations { groups: (0..GROUPS).map(declared).collect(), ..Declarations::default() };
        let replace = Replace::new(1, &declarations.canonical(), b"");
        state.apply(1, &Command { body: Some(Body::Replace(replace)) });
        Self {
            now: Instant::ZERO,
            state,
            leader: Leader::new(Instant::ZERO),
            proposed: Vec::new(),
            answers: Vec::new(),
            starts: vec![Instant::ZERO; ENTRIES],
            incarnation: 1,
            commands: 0,
        }
    }

    /// Ends all processes and starts them again, with another leader.
    fn restart_all(&mut self) {
        self.incarnation += 1;
        self.proposed.clear();
        self.answers.clear();
        self.leader = Leader::new(self.now);
        for (at, start) in self.starts.iter_mut().enumerate() {
            *start = self.now + START_TIME * (at * 7 % ENTRIES) as u32 / ENTRIES as u32;
        }
    }

    fn join(&self, at: usize) -> Join {
        Join {
            entry: format!("e{at}"),
            incarnation: self.incarnation,
            address: format!("10.9.{}.{}:6433", at / 250, at % 250 + 1),
            zone: format!("z{}", at % 4),
            sole: true,
            weight: if at < STRONG { 4 } else { 1 },
            ..Join::default()
        }
    }

    fn round(&mut self) {
        self.now += TICK;
        let now = self.now;
        let due = self.proposed.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Command> = due.map(|(_, command)| command).collect();
        for command in due {
            let index = self.state.index + 1;
            self.state.apply(index, &command);
            self.commands += 1;
            self.feed(Event::Applied { index });
        }
        let mut events = std::mem::take(&mut self.answers);
        events.push(Event::Tick);
        if now.as_micros().is_multiple_of(500_000) {
            let servers = (0..GROUPS).flat_map(|group| (0..SERVERS).map(move |at| (group, at)));
            events.extend(servers.map(|(group, at)| Event::Announced(server(group, at))));
        }
        for (at, start) in self.starts.iter().enumerate().filter(|(_, start)| **start <= now) {
            events.extend(self.heartbeat(at, *start));
        }
        for event in events {
            self.feed(event);
        }
    }

    /// Events of an entry in this round: it asks to join with each heartbeat until it is part
    /// of the state, and gives leases back at once.
    fn heartbeat(&self, at: usize, start: Instant) -> Vec<Event> {
        let entry = Name::new(&format!("e{at}")).unwrap();
        let elapsed = self.now.since(start).as_millis() / TICK.as_millis();
        let is_due = elapsed.is_multiple_of(HEARTBEAT_INTERVAL.as_millis() / TICK.as_millis());
        let incarnation = self.incarnation;
        let is_returning = |group: &control::Group| {
            let lease = group.lease(entry.as_str());
            lease.is_some_and(|lease| lease.returning && lease.incarnation == incarnation)
        };
        let returning = self.state.groups.iter().filter(|(_, group)| is_returning(group));
        let returned: Vec<Name> = returning.map(|(name, _)| name.clone()).collect();
        if !is_due && returned.is_empty() {
            return Vec::new();
        }
        let applied = self.state.index;
        let heartbeat = Event::Heartbeat { entry, incarnation, applied, returned };
        vec![Event::Joined(self.join(at)), heartbeat]
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on(self.now, &self.state, event, &mut out);
        for effect in out {
            match effect {
                Effect::Propose(command) => self.proposed.push((self.now + COMMIT_TIME, command)),
                Effect::Probe { group, server, ask, .. } => {
                    assert!(!matches!(ask, Ask::Designate { .. }), "all groups are fenced");
                    let result = Ok(status(&server));
                    self.answers.push(Event::Probed { group, server, ask, result });
                }
            }
        }
    }

    /// Whether each group has a primary and a keeper that runs and may use all servers.
    fn is_served(&self) -> bool {
        self.state.groups.values().all(|group| {
            let serves = |lease: &wire::log::Lease| {
                lease.incarnation == self.incarnation
                    && !lease.returning
                    && lease.shares.iter().filter(|share| share.slots > 0).count() == SERVERS
            };
            group.primary.is_some() && group.leases.iter().any(serves)
        })
    }

    fn run_until_served(&mut self) -> Duration {
        let start = self.now;
        while !self.is_served() && self.now.since(start) < Duration::from_secs(30) {
            self.round();
        }
        self.now.since(start)
    }
}

/// Guards against a return of all hosts in which the joins of 300 entries delay the leases of
/// the groups.
#[test]
fn all_groups_are_served_within_three_seconds_after_all_processes_were_killed() {
    let mut world = World::new();
    world.run_until_served();
    for _ in 0..250 {
        world.round();
    }
    world.commands = 0;
    world.restart_all();
    let served = world.run_until_served();
    assert!(served <= START_TIME + LIMIT, "served after {served:?}");
    for _ in 0..100 {
        world.round();
    }
    assert_eq!(world.state.entries.len(), ENTRIES);
    // a join for each entry, the end of the leases of each earlier keeper, and a few
    // assignments for each group
    let limit = ENTRIES + STRONG + 8 * GROUPS;
    assert!(world.commands <= limit, "{} commands, {limit} allowed", world.commands);
}
