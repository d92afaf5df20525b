//! Stand-in of one service: a primary and its replicas, as PROTOCOL.md describes them.
//!
//! A commit that writes gets the next number at the primary. Each replica that follows that
//! primary receives it [`LAG`] later, unless it receives nothing ("deaf"). The commit is
//! answered once one replica has received it (`sync_replicas` 1). A promoted server leads
//! the next term with what it has received. The old primary continues, with the replicas
//! that still follow it, until each has reached the new one for [`STEP_DOWN`].

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{call, read_line};
use crate::record::Record;

/// Time from a commit to its receipt by a replica.
pub const LAG: Duration = Duration::from_millis(8);
/// Time from an accepted promotion until the server leads.
pub const PROMOTE: Duration = Duration::from_millis(600);
/// Time for which an old primary continues after it can reach the new one.
const STEP_DOWN: Duration = Duration::from_secs(1);
/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A committed record.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    at: Instant,
}

#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Server that this one receives from.
    follows: usize,
    pub deaf: bool,
    /// Whether the server is partitioned from the system: it still reaches its replicas.
    pub cut: bool,
    /// Time since which the server can reach a primary of a later term.
    reaches_since: Option<Instant>,
    pub up: bool,
    pub draining: bool,
    pub born: u64,
    sequence: u64,
    streams: Vec<TcpStream>,
}

impl Server {
    fn last(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |entry| (entry.term, entry.number))
    }

    pub fn holds(&self, id: &str) -> bool {
        self.log.iter().any(|entry| entry.id == id)
    }
}

/// A promotion that has taken effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub server: usize,
    pub at: Instant,
    /// Ids in the log of the promoted server at that time.
    pub ids: Vec<String>,
}

#[derive(Default)]
pub struct State {
    pub servers: Vec<Server>,
    /// Server that the platform regards as the primary.
    pub leader: usize,
    pub promotions: Vec<Promotion>,
    /// Commits that were answered: id, server, time of the commit.
    pub commits: Vec<(String, usize, Instant)>,
}

pub struct Group {
    pub name: String,
    /// Time that a read takes, in milliseconds.
    pub read_ms: AtomicU64,
    pub state: Mutex<State>,
    /// Statements that ran: id, server, and time.
    pub runs: Mutex<Vec<(String, usize, Instant)>>,
    changed: Condvar,
    controls: Vec<SocketAddr>,
    record: Record,
}

impl Group {
    /// Starts a group of servers; the first one is the primary. Each announces itself for the
    /// first time after a delay, so that control knows them in a certain order.
    pub fn start(
        name: &str,
        delays: [Duration; 3],
        servers: &[(String, SocketAddr, String)],
        controls: Vec<SocketAddr>,
        record: Record,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let make = |(at, (id, address, zone)): (usize, &(String, SocketAddr, String))| Server {
            id: id.clone(),
            address: *address,
            zone: zone.clone(),
            primary: at == 0,
            term: 1,
            log: Vec::new(),
            follows: 0,
            deaf: false,
            cut: false,
            reaches_since: None,
            up: true,
            draining: false,
            born,
            sequence: 0,
            streams: Vec::new(),
        };
        let state = State {
            servers: servers.iter().enumerate().map(make).collect(),
            ..State::default()
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            read_ms: AtomicU64::new(2),
            runs: Mutex::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            controls,
            record,
        });
        for at in 0..servers.len() {
            let listener = TcpListener::bind(servers[at].1).expect("a free address");
            let own = Arc::clone(&group);
            thread::spawn(move || own.accept(at, &listener));
            let own = Arc::clone(&group);
            thread::spawn(move || {
                thread::sleep(delays[at]);
                own.announce(at);
            });
        }
        let own = Arc::clone(&group);
        thread::spawn(move || own.replicate());
        group
    }

    /// Index of a server.
    pub fn find(&self, id: &str) -> Option<usize> {
        self.state.lock().unwrap().servers.iter().position(|server| server.id == id)
    }

    /// Ends a server's process: its connections are reset, and new ones are closed at once.
    pub fn crash(&self, at: usize) {
        let mut state = self.state.lock().unwrap();
        let server = &mut state.servers[at];
        server.up = false;
        for stream in server.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&server.id, "crashes");
    }

    /// Starts a crashed server again, with its log: as a replica if another one was promoted.
    pub fn revive(&self, at: usize) {
        let mut state = self.state.lock().unwrap();
        let leads = state.leader == at;
        let server = &mut state.servers[at];
        (server.up, server.primary) = (true, leads);
        self.record.line(&server.id, if leads { "is back as the primary" } else { "is back" });
    }

    /// The server stops or starts to receive.
    pub fn set_deaf(&self, at: usize, deaf: bool) {
        let mut state = self.state.lock().unwrap();
        state.servers[at].deaf = deaf;
        let text = if deaf { "receives nothing from now on" } else { "receives again" };
        self.record.line(&state.servers[at].id, text);
    }

    /// Partitions a server from control and from the entries, or ends the partition. What is
    /// sent to it meanwhile arrives afterwards.
    pub fn set_cut(&self, at: usize, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.servers[at].cut = cut;
        let text = if cut { "is cut off from the system" } else { "is reached again" };
        self.record.line(&state.servers[at].id, text);
    }

    /// Waits while a server is cut off.
    fn wait_for_path(&self, at: usize) {
        while self.state.lock().unwrap().servers[at].cut {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// The server reports that it is leaving; returns when that was acknowledged.
    pub fn drain(&self, at: usize) -> Option<Instant> {
        let id = {
            let mut state = self.state.lock().unwrap();
            state.servers[at].draining = true;
            state.servers[at].id.clone()
        };
        self.record.line(&id, "is to be replaced, reports draining");
        let acknowledged = self.beat(at).then(Instant::now);
        self.record.line(&id, &format!("draining acknowledged: {}", acknowledged.is_some()));
        acknowledged
    }

    /// Promotes a server, as the platform does after `POST /promotion`; false if it is down.
    pub fn promote(self: &Arc<Self>, at: usize) -> bool {
        let state = self.state.lock().unwrap();
        if !state.servers[at].up {
            return false;
        }
        if state.leader == at {
            return true;
        }
        drop(state);
        let own = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            own.lead(at);
        });
        true
    }

    fn lead(self: &Arc<Self>, at: usize) {
        let mut state = self.state.lock().unwrap();
        if state.leader == at || !state.servers[at].up {
            return;
        }
        let term = state.servers.iter().map(|server| server.term).max().unwrap_or(1) + 1;
        state.leader = at;
        let server = &mut state.servers[at];
        (server.primary, server.term, server.follows, server.deaf) = (true, term, at, false);
        let ids: Vec<String> = server.log.iter().map(|entry| entry.id.clone()).collect();
        let text = format!("leads term {term} with {} records: {}", ids.len(), ids.join(" "));
        self.record.line(&server.id, &text);
        state.promotions.push(Promotion { server: at, at: Instant::now(), ids });
        drop(state);
        let own = Arc::clone(self);
        thread::spawn(move || own.beat(at));
    }

    /// Each server that has reached a primary of a later term for [`STEP_DOWN`] follows it, and
    /// loses what that primary does not have.
    fn step_down(&self, state: &mut State) {
        let leader = state.leader;
        let (term, log) = (state.servers[leader].term, state.servers[leader].log.clone());
        let open = state.servers[leader].up;
        for at in 0..state.servers.len() {
            let server = &mut state.servers[at];
            if at == leader || server.term >= term {
                continue;
            }
            if !(open && server.up) {
                server.reaches_since = None;
                continue;
            }
            if server.reaches_since.get_or_insert_with(Instant::now).elapsed() < STEP_DOWN {
                continue;
            }
            (server.primary, server.term, server.follows) = (false, term, leader);
            let common = server.log.iter().zip(&log).take_while(|(one, other)| one.id == other.id);
            let common = common.count();
            let lost: Vec<_> = server.log.drain(common..).map(|entry| entry.id).collect();
            let text = format!("follows the primary of term {term}, rolls back: {}", lost.join(" "));
            self.record.line(&server.id, &text);
            self.changed.notify_all();
        }
    }

    fn replicate(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            self.step_down(&mut state);
            for at in 0..state.servers.len() {
                let server = &state.servers[at];
                let from = server.follows;
                if from == at || server.deaf || !server.up || !state.servers[from].up {
                    continue;
                }
                let have = server.log.len();
                let source = &state.servers[from].log;
                let due = |entry: &&Entry| entry.at.elapsed() >= LAG;
                let new: Vec<_> = source.iter().skip(have).take_while(due).cloned().collect();
                if !new.is_empty() {
                    state.servers[at].log.extend(new);
                    self.changed.notify_all();
                }
            }
        }
    }

    fn announce(&self, at: usize) {
        loop {
            self.beat(at);
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends one heartbeat, to the first control node that acknowledges it. Returns whether one
    /// did.
    fn beat(&self, at: usize) -> bool {
        let (id, body) = {
            let mut state = self.state.lock().unwrap();
            let server = &mut state.servers[at];
            if !server.up || server.cut {
                return false;
            }
            server.sequence += 1;
            let role = if server.primary { "primary" } else { "replica" };
            let mode = if server.draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":2,\"state\":\"{mode}\",\"cold_remaining_ms\":0,\
                 \"database_role\":\"{role}\",\"sequence\":{},\"born\":{}}}",
                self.name, server.address, server.zone, server.sequence, server.born
            );
            (server.id.clone(), body)
        };
        for control in &self.controls {
            if let Ok((status, _)) = call(*control, "PUT", &format!("/instances/{id}"), &body)
                && (200..300).contains(&status)
            {
                return true;
            }
        }
        false
    }

    fn accept(self: Arc<Self>, at: usize, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let mut state = self.state.lock().unwrap();
            if !state.servers[at].up {
                continue;
            }
            state.servers[at].streams.push(stream.try_clone().unwrap());
            drop(state);
            let own = Arc::clone(&self);
            thread::spawn(move || {
                let _ = own.serve(at, &stream);
            });
        }
    }

    fn serve(&self, at: usize, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut session = Session { group: self, at, open: None, prepared: HashMap::new() };
        let Some(start) = read_line(&mut reader)? else { return Ok(()) };
        self.wait_for_path(at);
        let words: Vec<&str> = start.split(' ').collect();
        let own = self.state.lock().unwrap().servers[at].id.clone();
        let known = words.first() == Some(&"START") && words.get(1) == Some(&self.name.as_str());
        if !known || words.get(3).is_some_and(|id| *id != own) {
            (&mut &*stream).write_all(format!("ERROR WRONGNODE {own}\r\n").as_bytes())?;
            return Ok(());
        }
        let ready = session.ready();
        (&mut &*stream).write_all(ready.as_bytes())?;
        while let Some(line) = read_line(&mut reader)? {
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            self.wait_for_path(at);
            let answer = session.run(id, text);
            self.wait_for_path(at);
            if !self.state.lock().unwrap().servers[at].up {
                return Ok(());
            }
            let answer = format!("{answer}{}", session.ready());
            (&mut &*stream).write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

/// An open transaction.
struct Open {
    read: bool,
    /// Term of the server at the start.
    term: u64,
    writes: Vec<String>,
    failed: bool,
}

struct Session<'a> {
    group: &'a Group,
    at: usize,
    open: Option<Open>,
    prepared: HashMap<String, String>,
}

impl Session<'_> {
    fn ready(&self) -> String {
        let state = self.group.state.lock().unwrap();
        let (term, number) = state.servers[self.at].last();
        let status = match &self.open {
            None => "I",
            Some(open) if open.failed => "E",
            Some(_) => "T",
        };
        format!("READY {status} {}.{number}\r\n", term.max(1))
    }

    fn fail(&mut self, code: &str) -> String {
        if let Some(open) = &mut self.open {
            open.failed = true;
        }
        format!("ERROR {code} {}\r\n", self.group.state.lock().unwrap().servers[self.at].id)
    }

    fn run(&mut self, id: &str, text: &str) -> String {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("WAITFOR ") {
            let (mark, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = mark.split_once('.').unwrap_or(("1", "0"));
            let mark = (term.parse().unwrap_or(1), number.parse().unwrap_or(0));
            let last = self.group.state.lock().unwrap().servers[self.at].last();
            let rest = rest.to_owned();
            if mark.1 > 0 && last < mark {
                return self.fail("LAGGING");
            }
            text = rest;
        }
        if let Some(rest) = text.strip_prefix("EXECUTE ") {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(verb) = self.prepared.get(name) else { return self.fail("NOSUCHSTMT") };
            text = format!("{verb} {arguments}");
        }
        let (verb, rest) = text.split_once(' ').unwrap_or((&text, ""));
        if self.open.as_ref().is_some_and(|open| open.failed) && verb != "ROLLBACK" {
            return self.fail("MALFORMED");
        }
        let (primary, term) = {
            let state = self.group.state.lock().unwrap();
            (state.servers[self.at].primary, state.servers[self.at].term)
        };
        let lost = self.open.as_ref().is_some_and(|open| !open.read && open.term != term);
        match verb {
            "SET" | "RESET" | "DEALLOCATE" => "COMPLETE -\r\n".to_owned(),
            "PREPARE" => {
                let mut words = rest.split(' ');
                let name = words.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, words.next().unwrap_or_default().to_owned());
                "COMPLETE -\r\n".to_owned()
            }
            "STATUS" => self.status(),
            "BEGIN" if rest != "READ" && !primary => self.fail("READONLY"),
            "BEGIN" => {
                self.open =
                    Some(Open { read: rest == "READ", term, writes: Vec::new(), failed: false });
                "COMPLETE -\r\n".to_owned()
            }
            "ROLLBACK" => {
                self.open = None;
                "COMPLETE -\r\n".to_owned()
            }
            "READ" if lost => self.fail("READONLY"),
            "READ" => {
                self.note(id, &text);
                thread::sleep(Duration::from_millis(self.group.read_ms.load(Ordering::Relaxed)));
                format!("DATAROW d{id}\r\nCOMPLETE sig-{id}\r\n")
            }
            "WRITE" if !primary || lost => self.fail("READONLY"),
            "WRITE" => {
                thread::sleep(Duration::from_millis(4));
                self.note(id, &text);
                if let Some(open) = &mut self.open {
                    open.writes.push(id.to_owned());
                    return format!("COMPLETE sig-{id}\r\n");
                }
                self.commit(id)
            }
            "COMMIT" if lost => self.fail("READONLY"),
            "COMMIT" => {
                let writes = self.open.take().map_or(0, |open| open.writes.len());
                self.note(id, &text);
                if writes == 0 { format!("COMPLETE sig-{id}\r\n") } else { self.commit(id) }
            }
            _ => self.fail("MALFORMED"),
        }
    }

    fn note(&self, id: &str, text: &str) {
        self.group.runs.lock().unwrap().push((id.to_owned(), self.at, Instant::now()));
        let state = self.group.state.lock().unwrap();
        self.group.record.line(&state.servers[self.at].id, &format!("runs {id} {text}"));
    }

    fn status(&self) -> String {
        let state = self.group.state.lock().unwrap();
        let server = &state.servers[self.at];
        let (term, number) = server.last();
        let role = if server.primary { "primary" } else { "replica" };
        let row = format!("{role} {} {}.{number} 0 8 0 4", server.term, term.max(1));
        format!("DATAROW {row}\r\nCOMPLETE -\r\n")
    }

    /// Commits, and waits until a replica has received the commit.
    fn commit(&self, id: &str) -> String {
        let mut state = self.group.state.lock().unwrap();
        let server = &mut state.servers[self.at];
        let (term, number) = (server.term, server.last().1 + 1);
        let at = Instant::now();
        server.log.push(Entry { term, number, id: id.to_owned(), at });
        let own = server.id.clone();
        self.group.record.line(&own, &format!("commits {id} as {term}.{number}"));
        loop {
            let received = |(at, server): (usize, &Server)| {
                at != self.at && server.follows == self.at && server.holds(id)
            };
            let holder = state.servers.iter().enumerate().position(received);
            if let Some(holder) = holder {
                let text = format!("has received {id}, so {own} answers it");
                self.group.record.line(&state.servers[holder].id, &text);
                state.commits.push((id.to_owned(), self.at, at));
                return format!("COMPLETE sig-{id}\r\n");
            }
            if !state.servers[self.at].holds(id) {
                return format!("ERROR READONLY {own}\r\n");
            }
            state = self.group.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }
}
