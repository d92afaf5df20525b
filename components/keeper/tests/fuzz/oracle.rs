//! What callers were told, against what the servers hold.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::prelude::*;
use keeper::Front;
use wire::data::{Class, End, Outcome, Part};

use crate::server::Server;

/// What a cycle does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Write,
    Read,
    Begin,
    Commit,
    Rollback,
}

/// A request as its caller knows it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: u64,
    pub verb: Verb,
    pub class: Class,
    pub within: bool,
    pub caller: usize,
    /// Data may be as old as this; none for reads that only need the session's own.
    pub since: Option<Instant>,
    /// Writes that the session knows of.
    pub known: BTreeSet<u64>,
    /// Writes of the transaction that it ends.
    pub ops: Vec<u64>,
    pub parts: u64,
    pub reply: Option<u64>,
    pub ended: bool,
    pub abandoned: bool,
}

/// What a server answered.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: u64,
    pub failed: bool,
    pub seen: Vec<u64>,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub asked: BTreeMap<(Front, u64), Asked>,
    pub replies: Vec<Reply>,
    /// How often each request was sent.
    pub sent: HashMap<u64, u32>,
    pub acked: Vec<(u64, Instant)>,
    /// Writes of another keeper that it has not acknowledged yet.
    pub elsewhere: Vec<u64>,
    pub never: BTreeSet<u64>,
    pub repeatable: BTreeSet<u64>,
    /// Servers that held a write in the term that it was written in.
    pub holders: HashMap<(u64, Term), BTreeSet<usize>>,
}

impl Oracle {
    /// Notes who holds what; to be called after each change of a log.
    pub fn observe(&mut self, index: usize, server: &Server) {
        for entry in server.log.iter().rev().take(8).filter(|entry| entry.term == server.term) {
            for op in &entry.ops {
                self.holders.entry((*op, entry.term)).or_default().insert(index);
            }
        }
    }

    pub fn part(&mut self, front: Front, part: &Part) {
        let asked = self.asked.get_mut(&(front, part.request)).expect("a part of a known request");
        assert!(!asked.ended, "a part after the end of {}", asked.id);
        assert_eq!(part.sequence, asked.parts, "parts of {} are in order", asked.id);
        asked.parts += 1;
        let text = std::str::from_utf8(&part.payload).expect("text");
        let number: u64 = text.parse().expect("the number of a reply");
        assert_eq!(self.replies[number as usize].id, asked.id, "an answer went to another request");
        asked.reply = Some(number);
    }

    /// Notes an end; returns the request.
    pub fn end(&mut self, now: Instant, front: Front, end: &End, servers: &[Server]) -> Asked {
        let asked = self.asked.get_mut(&(front, end.request)).expect("an end of a known request");
        assert!(!asked.ended, "request {} ended twice", asked.id);
        assert_eq!(end.parts, asked.parts, "parts of {}", asked.id);
        asked.ended = true;
        let asked = asked.clone();
        match end.outcome() {
            Outcome::Done => self.done(now, &asked, servers),
            Outcome::NotRun => self.not_run(&asked, end),
            Outcome::Unknown => {}
            Outcome::Missing => panic!("no outcome"),
        }
        asked
    }

    fn done(&mut self, now: Instant, asked: &Asked, servers: &[Server]) {
        let reply = asked.reply.expect("a request is done with an answer");
        let reply = self.replies[reply as usize].clone();
        if reply.failed {
            if asked.verb == Verb::Write && !asked.within {
                self.never.insert(asked.id);
            }
            return;
        }
        let ops: &[u64] = match asked.verb {
            Verb::Write if !asked.within => &[asked.id],
            Verb::Commit => &asked.ops,
            Verb::Read if !asked.within => return self.check_read(asked, &reply),
            _ => return,
        };
        for op in ops {
            self.check_majority(*op, servers);
            self.acked.push((*op, now));
        }
    }

    /// Lets the other keeper acknowledge what a majority holds.
    pub fn acknowledge_elsewhere(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.elsewhere);
        for op in waiting {
            if self.is_held(op) {
                self.acked.push((op, now));
            } else {
                self.elsewhere.push(op);
            }
        }
    }

    fn is_held(&self, op: u64) -> bool {
        self.holders.iter().any(|((other, _), by)| *other == op && by.len() >= 2)
    }

    fn check_majority(&self, op: u64, servers: &[Server]) {
        let held = self.is_held(op);
        let holds = |server: &&Server| server.log.iter().any(|entry| entry.ops.contains(&op));
        let now = servers.iter().filter(holds).count();
        assert!(held || now >= 2, "write {op} was acknowledged without a majority");
    }

    fn check_read(&self, asked: &Asked, reply: &Reply) {
        let missing: Vec<_> = asked.known.iter().filter(|op| !reply.seen.contains(op)).collect();
        assert!(missing.is_empty(), "read {} misses the session's {missing:?}", asked.id);
        let Some(since) = asked.since else {
            return;
        };
        for (op, at) in self.acked.iter().filter(|(_, at)| *at < since) {
            assert!(reply.seen.contains(op), "read {} misses {op}, acknowledged at {at}", asked.id);
        }
    }

    fn not_run(&mut self, asked: &Asked, end: &End) {
        if asked.verb == Verb::Write && !asked.within {
            self.never.insert(asked.id);
        }
        if asked.within && end.status == u32::from(b'I') {
            self.never.extend(asked.ops.iter().copied());
            self.never.insert(asked.id);
        }
    }

    /// Notes that a request was sent; whether it is a repeat that must not overlap.
    pub fn note_sent(&mut self, id: u64) -> bool {
        let asked = self.asked.values().find(|asked| asked.id == id).expect("a known request");
        let sent = self.sent.entry(id).or_default();
        *sent += 1;
        let once = asked.class == Class::Write || asked.within;
        assert!(!once || *sent == 1, "request {id} was sent twice");
        *sent > 1 && asked.class == Class::Idempotent
    }

    /// Checks the log that survived against all that was told.
    pub fn check_log(&self, server: &Server) {
        let mut count: HashMap<u64, u32> = HashMap::new();
        for op in server.log.iter().flat_map(|entry| &entry.ops) {
            *count.entry(*op).or_default() += 1;
        }
        for (op, times) in &count {
            assert!(*times == 1 || self.repeatable.contains(op), "write {op} is doubled");
            assert!(!self.never.contains(op), "write {op} was not run, but stands in the log");
        }
        for (op, _) in &self.acked {
            assert!(count.contains_key(op), "write {op} was acknowledged, but is lost");
        }
    }
}
