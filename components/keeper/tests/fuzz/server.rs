//! A simulated server, reduced to its log and terms.

use base::prelude::*;

/// A log record: the writes of one commit, or the start of a term.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: Term,
    pub ops: Vec<u64>,
}

/// A simulated server.
#[derive(Debug)]
pub struct Server {
    pub name: Name,
    pub alive: bool,
    /// Whether the server is partitioned from the other servers.
    pub cut: bool,
    pub incarnation: u64,
    pub term: Term,
    pub role: Role,
    pub following: Option<usize>,
    pub log: Vec<Entry>,
    pub applied: usize,
    /// When the server last replicated from its primary.
    pub heard: Instant,
    version: u64,
}

impl Server {
    pub fn new(index: usize) -> Self {
        Self {
            name: Name::new(&format!("server-{index}")).expect("a name"),
            alive: true,
            cut: false,
            incarnation: 1,
            term: Term(0),
            role: Role::Replica,
            following: None,
            log: Vec::new(),
            applied: 0,
            heard: Instant::ZERO,
            version: 1,
        }
    }

    pub fn last(&self) -> Mark {
        let term = self.log.last().map_or(Term(0), |entry| entry.term);
        Mark { term, position: Position(self.log.len() as u64) }
    }

    pub fn status(&self, now: Instant) -> Status {
        let mut history = History::default();
        let mut term = Term(0);
        for (index, entry) in self.log.iter().enumerate() {
            if entry.term > term {
                term = entry.term;
                history.begin(term, Position(index as u64));
            }
        }
        let primary = self.role == Role::Primary;
        Status {
            server: self.name.clone(),
            incarnation: self.incarnation,
            term: self.term,
            log_term: self.last().term,
            received: self.last().position,
            applied: Position(self.applied as u64),
            role: self.role,
            silence: if primary { Duration::ZERO } else { now.since(self.heard) },
            history,
            version: self.version,
        }
    }

    pub fn fence(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.role = Role::Replica;
            self.following = None;
            self.version += 1;
        }
    }

    pub fn promote(&mut self, term: Term) -> bool {
        if term != self.term || self.last().term >= term || self.following.is_some() {
            return false;
        }
        self.role = Role::Primary;
        self.append(Vec::new());
        true
    }

    pub fn follow(&mut self, term: Term, primary: usize) {
        if term >= self.term && !(term == self.term && self.role == Role::Primary) {
            self.term = term;
            self.role = Role::Replica;
            self.following = Some(primary);
            self.version += 1;
        }
    }

    pub fn append(&mut self, ops: Vec<u64>) {
        self.log.push(Entry { term: self.term, ops });
        self.applied = self.log.len();
        self.version += 1;
    }

    /// Replicates at most `count` entries of the primary's log.
    pub fn copy(&mut self, primary: &[Entry], count: usize, now: Instant) {
        let same = self.log.iter().zip(primary).take_while(|(a, b)| a.term == b.term).count();
        self.log.truncate(same);
        self.applied = self.applied.min(same);
        self.log.extend(primary[same..].iter().take(count).cloned());
        self.heard = now;
        self.version += 1;
    }

    pub fn apply(&mut self, count: usize) {
        self.applied = (self.applied + count).min(self.log.len());
        self.version += 1;
    }

    pub fn restart(&mut self) {
        self.alive = true;
        self.cut = false;
        self.incarnation += 1;
        self.role = Role::Replica;
        self.following = None;
    }

    /// Writes that are visible to reads.
    pub fn visible(&self) -> Vec<u64> {
        self.log[..self.applied].iter().flat_map(|entry| entry.ops.iter().copied()).collect()
    }
}
