//! Fake backend servers that follow the rules of `docs/GROUPS.md`.

use std::net::SocketAddr;

use base::prelude::*;
use control::Ask;

/// A log record: the term in which it was written, and its unique number.
pub type Record = (Term, u64);

/// Time between two heartbeats of a primary to its replicas.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
pub struct Server {
    pub name: Name,
    pub address: SocketAddr,
    pub up: bool,
    /// Whether the server is partitioned from control.
    pub unheard: bool,
    /// Whether the server is partitioned from the other servers.
    pub isolated: bool,
    pub incarnation: u64,
    pub term: Term,
    pub log: Vec<Record>,
    pub role: Role,
    /// Address of the primary from which a replica copies records.
    pub source: Option<SocketAddr>,
    /// When the last heartbeat of the primary arrived.
    pub heard: Instant,
    /// Number of the newest status within the incarnation.
    pub version: u64,
}

impl Server {
    pub fn new(index: usize) -> Self {
        let port = 7_000 + index as u16;
        Self {
            name: Name::new(&format!("s{index}")).unwrap(),
            address: ([127, 0, 0, 1], port).into(),
            up: true,
            unheard: false,
            isolated: false,
            incarnation: 1,
            term: Term(0),
            log: Vec::new(),
            role: Role::Replica,
            source: None,
            heard: Instant::ZERO,
            version: 1,
        }
    }

    pub fn log_term(&self) -> Term {
        self.log.last().map_or(Term(0), |record| record.0)
    }

    /// Whether the server is up and its log contains the record at a mark.
    pub fn holds(&self, mark: Mark) -> bool {
        self.up && self.status(Instant::ZERO).holds(mark)
    }

    pub fn status(&self, now: Instant) -> Status {
        let mut history = History::default();
        for (at, record) in self.log.iter().enumerate() {
            history.begin(record.0, Position(at as u64));
        }
        let primary = self.role == Role::Primary;
        Status {
            server: self.name.clone(),
            incarnation: self.incarnation,
            term: self.term,
            log_term: self.log_term(),
            received: Position(self.log.len() as u64),
            applied: Position(self.log.len() as u64),
            role: self.role,
            silence: if primary { Duration::ZERO } else { now.since(self.heard) },
            history,
            version: self.version,
        }
    }

    /// Executes a request and reports the status.
    pub fn answer(&mut self, now: Instant, ask: Ask) -> Status {
        self.version += 1;
        match ask {
            Ask::Fence(term) if term > self.term => self.join(term, None),
            Ask::Promote(term) if term == self.term && self.source.is_none() => {
                if self.role == Role::Replica {
                    self.role = Role::Primary;
                    self.log.push((term, u64::MAX));
                }
            }
            Ask::Follow { term, primary } if term >= self.term => {
                if term > self.term || self.role == Role::Replica {
                    self.join(term, Some(primary));
                    self.heard = now;
                }
            }
            Ask::Status | Ask::Fence(_) | Ask::Promote(_) | Ask::Follow { .. } => {}
            Ask::Designate { .. } => panic!("servers of fenced groups are never designated"),
        }
        self.status(now)
    }

    fn join(&mut self, term: Term, source: Option<SocketAddr>) {
        self.term = term;
        self.role = Role::Replica;
        self.source = source;
    }

    pub fn crash(&mut self) {
        self.up = false;
    }

    /// Restarts the server; `keeps` is whether the server keeps its role and source.
    pub fn restart(&mut self, now: Instant, keeps: bool) {
        self.up = true;
        self.incarnation += 1;
        self.version = 1;
        self.heard = now;
        if !keeps {
            self.role = Role::Replica;
            self.source = None;
        }
    }
}

/// Copies up to `records` records to each replica from its primary.
pub fn replicate(now: Instant, servers: &mut [Server], records: usize) {
    for at in 0..servers.len() {
        let replica = &servers[at];
        let joined = |source: &&Server| {
            Some(source.address) == replica.source
                && source.up
                && !source.isolated
                && source.role == Role::Primary
                && source.term == replica.term
        };
        if !replica.up || replica.isolated {
            continue;
        }
        let Some(source) = servers.iter().find(joined).map(|source| source.log.clone()) else {
            continue;
        };
        copy(now, &mut servers[at], &source, records);
    }
}

fn copy(now: Instant, replica: &mut Server, source: &[Record], records: usize) {
    let same = replica.log.iter().zip(source).take_while(|(own, theirs)| own == theirs).count();
    replica.log.truncate(same);
    replica.log.extend(source.iter().skip(same).take(records));
    replica.version += 1;
    if now.since(replica.heard) >= HEARTBEAT_INTERVAL || records > 0 {
        replica.heard = now;
    }
}
