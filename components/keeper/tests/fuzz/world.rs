//! Simulated environment of one group: fronts, servers, connections and time.

mod fault;
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use base::mechanism::Without;
use base::prelude::*;
use bytes::Bytes;
use config::Declarations;
use keeper::{Connection, Effect, Event, Flaw, Front, Group, Lease, Outage, Setup, event};

use crate::link::{Job, Link};
use crate::oracle::Oracle;
use crate::server::Server;

pub const SERVERS: usize = 3;
const CALLERS: usize = 6;
const SLOTS: u32 = 2;
const DEADLINE_MS: u64 = 3_000;
const AGE_MS: u64 = 200;

/// A status request in transit to a server, or its answer in transit back.
#[derive(Debug)]
enum Probe {
    Asked { server: usize, sent: Instant },
    Answered { status: Status, sent: Instant },
}

#[derive(Debug, Default)]
struct Caller {
    front: usize,
    open: Option<u64>,
    within: bool,
    ops: Vec<u64>,
    floor: Option<Mark>,
    known: BTreeSet<u64>,
}

/// A failover in progress.
#[derive(Debug)]
struct Failover {
    term: Term,
    fenced: Vec<usize>,
    primary: Option<usize>,
}

#[derive(Debug)]
pub struct World {
    now: Instant,
    group: Group,
    servers: Vec<Server>,
    links: BTreeMap<Key<Connection>, Link>,
    /// Jobs of closed connections that a server may still run, with the term
    /// that the server was in when the connection was closed.
    detached: Vec<(Term, Link)>,
    probes: Vec<Probe>,
    callers: Vec<Caller>,
    fronts: [Front; 2],
    oracle: Oracle,
    failover: Option<Failover>,
    term: Term,
    setup: Setup,
    leased: bool,
    /// Servers that the group can't reach.
    unreachable: [bool; SERVERS],
    next: u64,
    out: Vec<Effect>,
}

fn declarations() -> Declarations {
    let service = config::Service {
        labels: config::Labels::new(),
        weight: 1,
        limits: config::Limits { queue: 16, retry_share: 1.0, ..config::Limits::default() },
        objectives: Vec::new(),
    };
    let selector = config::Selector {
        services: config::Labels::new(),
        groups: Vec::new(),
        backends: config::Labels::new(),
        kinds: BTreeMap::new(),
    };
    let name = |text| Name::new(text).expect("a name");
    Declarations {
        groups: [(name("group"), config::Group { servers: 3, ..config::Group::default() })].into(),
        services: [(name("ring"), service)].into(),
        selectors: [(name("all"), selector)].into(),
        ..Declarations::default()
    }
}

fn setup(servers: &[Server]) -> Setup {
    let zone = |index: usize| Name::new(&format!("zone-{index}")).expect("a name");
    let member = |(index, server): (usize, &Server)| event::Server {
        incarnation: 1,
        name: server.name.clone(),
        address: ([127, 0, 0, 1], 5432 + index as u16).into(),
        zone: zone(index),
        labels: config::Labels::new(),
        connections: 4,
        slots: SLOTS,
        share: SLOTS,
        leaving: false,
        expired: false,
    };
    Setup {
        unfenced: None,
        without: Without::default(),
        declared: SERVERS as u32,
        primary: None,
        servers: servers.iter().enumerate().map(member).collect(),
        lease: Lease::Held,
        declarations: Arc::new(declarations()),
    }
}

impl World {
    pub fn new(flaw: Option<Flaw>) -> Self {
        let name = |text| Name::new(text).expect("a name");
        let mut group = Group::new(name("group"), name("zone-0"), 1);
        if let Some(flaw) = flaw {
            group.inject_flaw(flaw);
        }
        let mut servers: Vec<_> = (0..SERVERS).map(Server::new).collect();
        servers[0].fence(Term(1));
        servers[0].promote(Term(1));
        servers[1].follow(Term(1), 0);
        servers[2].follow(Term(1), 0);
        let mut world = Self {
            now: Instant::from_millis(1_000),
            group,
            setup: setup(&servers),
            servers,
            links: BTreeMap::new(),
            detached: Vec::new(),
            probes: Vec::new(),
            callers: (0..CALLERS).map(|n| Caller { front: n % 2, ..Caller::default() }).collect(),
            fronts: [Front(0), Front(1)],
            oracle: Oracle::default(),
            failover: None,
            term: Term(1),
            leased: true,
            unreachable: [false; SERVERS],
            next: 2,
            out: Vec::new(),
        };
        world.feed(Event::Setup(world.setup.clone()));
        world.feed(Event::Leased(true));
        world.warm_up();
        world
    }

    /// Lets the group connect to its servers before any fault is injected.
    fn warm_up(&mut self) {
        for _ in 0..40 {
            self.progress();
        }
    }

    fn feed(&mut self, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        self.group.on(self.now, event, &mut out);
        for effect in out.drain(..) {
            self.act(effect);
        }
        self.out = out;
    }

    fn act(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { conn, server, .. } => self.connect(conn, &server),
            Effect::Send { conn, bytes, .. } => self.send(conn, &bytes),
            Effect::RollBack { conn } => self.roll_back(conn),
            Effect::Seal { .. } => panic!("a fenced group needs no seal"),
            Effect::Mark { conn } => self.push(conn, Job::Mark),
            Effect::Close { conn } => self.close(conn),
            Effect::Pause { conn } => self.set_paused(conn, true),
            Effect::Resume { conn } => self.set_paused(conn, false),
            Effect::Part { front, part } => {
                assert!(self.fronts.contains(&front), "a part to a front that is gone");
                self.oracle.part(front, &part);
            }
            Effect::End { front, end } => self.end(front, &end),
            Effect::Sample { server } => {
                let server = self.index(&server);
                self.probes.push(Probe::Asked { server, sent: self.now });
            }
            Effect::ReleaseLease => {
                assert!(self.links.is_empty(), "the lease was released with connections open");
            }
            Effect::Cancel { .. }
            | Effect::Report(_)
            | Effect::Wake(_)
            | Effect::Count(_)
            | Effect::Pace { .. }
            | Effect::Log(_) => {}
        }
    }

    fn index(&self, name: &Name) -> usize {
        self.servers.iter().position(|server| server.name == *name).expect("a known server")
    }

    fn may_start(&self) -> bool {
        self.leased && self.setup.lease == Lease::Held
    }

    fn connect(&mut self, conn: Key<Connection>, server: &Name) {
        let server = self.index(server);
        let standing = self.links.values().filter(|link| link.server == server).count();
        let limit = self.setup.servers[server].connections as usize;
        assert!(standing < limit, "more connections than the lease allows");
        assert!(self.may_start(), "a connection without a lease");
        self.links.insert(conn, Link::new(conn, server));
    }

    fn use_link(&mut self, conn: Key<Connection>) -> &mut Link {
        let link = self.links.get_mut(&conn).expect("a send on a known connection");
        assert!(link.established, "a send before the connection is open");
        assert_eq!(link.unfinished, 0, "a connection was used before its last cycle was over");
        link.unfinished += 1;
        link
    }

    fn roll_back(&mut self, conn: Key<Connection>) {
        self.use_link(conn);
        self.push(conn, Job::Rollback);
    }

    fn send(&mut self, conn: Key<Connection>, bytes: &Bytes) {
        let link = self.use_link(conn);
        link.runs = true;
        let server = link.server;
        let id: u64 = std::str::from_utf8(bytes).expect("text").parse().expect("an id");
        let request = self.oracle.requests.values().find(|request| request.id == id);
        let request = request.expect("a known request").clone();
        assert!(!request.ended, "request {id} was sent after its end");
        let running = self.links.values().filter(|link| link.server == server && link.runs).count();
        assert!(running <= SLOTS as usize, "more statements than slots");
        if !request.within {
            assert!(self.may_start(), "request {id} was started without a lease");
            assert!(!self.setup.servers[server].leaving, "request {id} went to a leaving server");
        }
        if self.oracle.note_sent(id) {
            let still_runs =
                self.detached.iter().any(|(term, detached)| self.may_write(id, *term, detached));
            assert!(!still_runs, "request {id} was repeated while its first try could run");
        }
        self.push(conn, Job::Run { id, owner: request.caller });
    }

    fn push(&mut self, conn: Key<Connection>, job: Job) {
        let link = self.links.get_mut(&conn).expect("a known connection");
        // data written to a broken connection is lost
        if !matches!(link.events.back(), Some(Event::Closed { .. })) {
            link.jobs.push_back(job);
        }
    }

    fn set_paused(&mut self, conn: Key<Connection>, paused: bool) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.paused = paused;
        }
    }

    /// Closes a connection for the group. The server may still run the jobs it
    /// received.
    fn close(&mut self, conn: Key<Connection>) {
        let link = self.links.get_mut(&conn).expect("a known connection");
        let mut detached = Link::new(conn, link.server);
        std::mem::swap(&mut detached.jobs, &mut link.jobs);
        detached.open = link.open.take();
        detached.established = link.established;
        link.events = [Event::Closed { conn }].into();
        (link.paused, link.runs) = (false, false);
        if detached.established && !detached.jobs.is_empty() {
            self.detached.push((self.servers[detached.server].term, detached));
        }
    }

    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 3)? {
            let micros = if u.ratio(1, 40)? { 300_000 } else { 2_000 };
            self.now += Duration::from_micros(u.int_in_range(1..=micros)?);
        }
        match u.int_in_range(0..=199_u8)? {
            0..=34 => self.ask(u)?,
            35..=84 => self.step_link(u)?,
            85..=104 => self.step_probe(u)?,
            105..=119 => {
                let server = u.choose_index(SERVERS)?;
                self.probes.push(Probe::Asked { server, sent: self.now });
            }
            120..=144 => self.replicate(u.choose_index(SERVERS)?, u.int_in_range(0..=2)?),
            145..=159 => self.feed(Event::Tick),
            160..=164 => self.step_failover(u)?,
            165 => self.crash(u.choose_index(SERVERS)?),
            166..=167 => self.revive(u.choose_index(SERVERS)?),
            168 => self.servers[u.choose_index(SERVERS)?].cut = u.arbitrary()?,
            169..=171 => self.break_link(u)?,
            172 => self.leave(u.choose_index(CALLERS)?),
            173 if u.ratio(1, 3)? => self.disconnect_front(u.choose_index(2)?),
            174..=176 => self.cancel_or_credit(u)?,
            177..=178 => self.change_lease(u)?,
            179 => self.change_servers(u)?,
            180..=185 => self.step_detached(u)?,
            186..=189 => self.write_by_other_keeper(),
            190 => self.unreachable[u.choose_index(SERVERS)?] = u.ratio(2, 3)?,
            191 => self.partition(u.choose_index(SERVERS)?, u.arbitrary()?, u.arbitrary()?),
            192 => self.heal(),
            193 => self.replace_primary(u.arbitrary()?),
            _ => self.progress_one(),
        }
        Ok(())
    }

    fn step_link(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.links.is_empty() {
            return Ok(());
        }
        let busy = self.busy();
        if busy.is_empty() {
            return Ok(());
        }
        let conn = busy[u.choose_index(busy.len())?];
        if u.arbitrary()? {
            self.execute(conn);
        } else {
            self.deliver(conn);
        }
        Ok(())
    }

    fn busy(&self) -> Vec<Key<Connection>> {
        let busy = |link: &&Link| is_busy(link) && !self.unreachable[link.server];
        self.links.values().filter(busy).map(|link| link.conn).collect()
    }

    fn execute(&mut self, conn: Key<Connection>) {
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        let closed = matches!(link.events.back(), Some(Event::Closed { .. }));
        let server = &mut self.servers[link.server];
        if !server.alive || closed {
            return;
        }
        if !link.established {
            return;
        }
        link.execute(server, &mut self.oracle);
        self.oracle.observe(link.server, server);
    }

    fn deliver(&mut self, conn: Key<Connection>) {
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        let closing = matches!(link.events.front(), Some(Event::Closed { .. }));
        if !link.established && !closing {
            if self.servers[link.server].alive {
                link.established = true;
                self.feed(Event::Opened { conn });
            } else {
                self.links.remove(&conn);
                self.feed(Event::Closed { conn });
            }
            return;
        }
        if link.paused {
            return;
        }
        let Some(event) = link.events.pop_front() else {
            return;
        };
        match event {
            Event::Cycle { .. } => {
                link.unfinished -= 1;
                link.runs = false;
            }
            Event::Closed { .. } => drop(self.links.remove(&conn)),
            _ => {}
        }
        self.feed(event);
    }

    fn step_probe(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let passing = |index: &usize| !self.unreachable[self.probed(&self.probes[*index])];
        let passing: Vec<_> = (0..self.probes.len()).filter(passing).collect();
        if passing.is_empty() {
            return Ok(());
        }
        let probe = self.probes.swap_remove(passing[u.choose_index(passing.len())?]);
        let again = u.ratio(1, 16)?;
        if let Probe::Answered { status, sent } = &probe
            && again
        {
            self.probes.push(Probe::Answered { status: status.clone(), sent: *sent });
        }
        self.pass_probe(probe);
        Ok(())
    }

    fn probed(&self, probe: &Probe) -> usize {
        match probe {
            Probe::Asked { server, .. } => *server,
            Probe::Answered { status, .. } => self.index(&status.server),
        }
    }

    fn pass_probe(&mut self, probe: Probe) {
        match probe {
            Probe::Answered { status, sent } => self.feed(Event::Status { status, sent }),
            Probe::Asked { server, sent } => {
                let target = &self.servers[server];
                if target.alive {
                    let status = target.status(self.now);
                    self.probes.push(Probe::Answered { status, sent });
                } else {
                    let server = target.name.clone();
                    self.feed(Event::Unreachable { server, outage: Outage::Refused });
                }
            }
        }
    }

    fn replicate(&mut self, index: usize, count: usize) {
        let Some(primary) = self.servers[index].following else {
            return;
        };
        let source = &self.servers[primary];
        let reaches = source.alive && !source.cut && source.role == Role::Primary;
        let replica = &self.servers[index];
        let takes = replica.alive && !replica.cut && replica.term == source.term;
        self.oracle.acknowledge_other_writes(self.now);
        if reaches && takes {
            let log = source.log.clone();
            self.servers[index].copy(&log, count, self.now);
            self.oracle.observe(index, &self.servers[index]);
        }
        self.servers[index].apply(count / 2);
    }

    fn progress_one(&mut self) {
        for conn in self.busy() {
            self.execute(conn);
            self.deliver(conn);
        }
    }

    /// Advances time by one tick and delivers everything in transit.
    fn progress(&mut self) {
        self.now += Duration::from_millis(10);
        for index in 0..SERVERS {
            self.replicate(index, 100);
            self.probes.push(Probe::Asked { server: index, sent: self.now });
        }
        for _ in 0..2 {
            for probe in std::mem::take(&mut self.probes) {
                self.pass_probe(probe);
            }
        }
        self.progress_one();
        self.feed(Event::Tick);
    }

    /// Ends all faults, waits until all requests have ended, and checks the
    /// final state.
    pub fn finish(mut self) {
        for index in 0..SERVERS {
            self.revive(index);
            self.servers[index].cut = false;
        }
        self.detached.clear();
        self.unreachable = [false; SERVERS];
        self.term = Term(self.term.0 + 1);
        self.failover = Some(Failover { term: self.term, fenced: Vec::new(), primary: None });
        for target in (0..SERVERS).cycle().take(SERVERS * 6) {
            self.advance(target);
        }
        (0..SERVERS).for_each(|target| self.rejoin(target));
        assert!(self.failover.is_none(), "the last failover did not finish");
        self.leased = true;
        self.setup.lease = Lease::Held;
        self.setup.servers.iter_mut().for_each(|server| server.leaving = false);
        self.feed(Event::Setup(self.setup.clone()));
        self.feed(Event::Leased(true));
        for _ in 0..450 {
            self.credit_all();
            self.progress();
        }
        for (key, request) in &self.oracle.requests {
            let owed = !request.abandoned && self.fronts.contains(&key.0);
            assert!(request.ended || !owed, "request {} never ended", request.id);
        }
        let primary = self.servers.iter().max_by_key(|server| server.last()).expect("servers");
        self.oracle.check_log(primary);
        self.stop();
    }

    fn stop(&mut self) {
        for number in 0..CALLERS {
            self.leave(number);
        }
        self.leased = true;
        self.feed(Event::Close);
        self.setup.lease = Lease::Returning;
        for _ in 0..300 {
            self.progress();
        }
        assert!(self.group.is_drained(), "a planned shutdown left requests or connections open");
    }
}

fn is_busy(link: &Link) -> bool {
    !link.established || !link.jobs.is_empty() || !link.events.is_empty()
}
