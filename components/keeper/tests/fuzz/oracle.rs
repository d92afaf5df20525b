//! Compares the answers that callers received with the logs of the servers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::prelude::*;
use keeper::Front;
use wire::data::{Class, End, Outcome, Part};

use crate::server::Server;

/// The statement of a cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Write,
    Read,
    Begin,
    Commit,
    Rollback,
}

/// A request from its caller's point of view.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub verb: Verb,
    pub class: Class,
    pub within: bool,
    pub caller: usize,
    /// Writes acknowledged before this time must be visible; `None` for reads
    /// that only need the session's own writes.
    pub since: Option<Instant>,
    /// Writes that the session must see.
    pub known: BTreeSet<u64>,
    /// Writes of the open transaction.
    pub ops: Vec<u64>,
    pub parts: u64,
    pub reply: Option<u64>,
    pub ended: bool,
    pub abandoned: bool,
}

/// Answer of a server.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: u64,
    pub failed: bool,
    pub seen: Vec<u64>,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: BTreeMap<(Front, u64), Request>,
    pub replies: Vec<Reply>,
    /// Number of times each request was sent.
    pub sent: HashMap<u64, u32>,
    /// Acknowledged writes, each with the time of its acknowledgement.
    pub acked: Vec<(u64, Instant)>,
    /// Writes of another keeper that are not acknowledged yet.
    pub other_writes: Vec<u64>,
    /// Writes that must not be in the final log.
    pub forbidden: BTreeSet<u64>,
    /// Writes that may be in the final log more than once.
    pub repeatable: BTreeSet<u64>,
    /// Servers that held a write in the term in which it was written.
    pub holders: HashMap<(u64, Term), BTreeSet<usize>>,
}

impl Oracle {
    /// Records which writes a server holds. Must be called after each change of
    /// a log.
    pub fn observe(&mut self, index: usize, server: &Server) {
        for entry in server.log.iter().rev().take(8).filter(|entry| entry.term == server.term) {
            for op in &entry.ops {
                self.holders.entry((*op, entry.term)).or_default().insert(index);
            }
        }
    }

    pub fn part(&mut self, front: Front, part: &Part) {
        let request =
            self.requests.get_mut(&(front, part.request)).expect("a part of a known request");
        assert!(!request.ended, "a part after the end of {}", request.id);
        assert_eq!(part.sequence, request.parts, "parts of {} are in order", request.id);
        request.parts += 1;
        let text = std::str::from_utf8(&part.payload).expect("text");
        let number: u64 = text.parse().expect("the number of a reply");
        assert_eq!(
            self.replies[number as usize].id, request.id,
            "an answer went to another request"
        );
        request.reply = Some(number);
    }

    /// Checks and records the end of a request; returns the request.
    pub fn end(&mut self, now: Instant, front: Front, end: &End, servers: &[Server]) -> Request {
        let request =
            self.requests.get_mut(&(front, end.request)).expect("an end of a known request");
        assert!(!request.ended, "request {} ended twice", request.id);
        assert_eq!(end.parts, request.parts, "parts of {}", request.id);
        request.ended = true;
        let request = request.clone();
        match end.outcome() {
            Outcome::Done => self.done(now, &request, servers),
            Outcome::NotRun => self.not_run(&request, end),
            Outcome::Unknown => {}
            Outcome::Missing => panic!("no outcome"),
        }
        request
    }

    fn done(&mut self, now: Instant, request: &Request, servers: &[Server]) {
        let reply = request.reply.expect("a request is done with an answer");
        let reply = self.replies[reply as usize].clone();
        if reply.failed {
            if request.verb == Verb::Write && !request.within {
                self.forbidden.insert(request.id);
            }
            return;
        }
        let ops: &[u64] = match request.verb {
            Verb::Write if !request.within => &[request.id],
            Verb::Commit => &request.ops,
            Verb::Read if !request.within => return self.check_read(request, &reply),
            _ => return,
        };
        for op in ops {
            self.check_majority(*op, servers);
            self.acked.push((*op, now));
        }
    }

    /// Acknowledges the writes of the other keeper that a majority holds.
    pub fn acknowledge_other_writes(&mut self, now: Instant) {
        let waiting = std::mem::take(&mut self.other_writes);
        for op in waiting {
            if self.is_held(op) {
                self.acked.push((op, now));
            } else {
                self.other_writes.push(op);
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

    fn check_read(&self, request: &Request, reply: &Reply) {
        let missing: Vec<_> = request.known.iter().filter(|op| !reply.seen.contains(op)).collect();
        assert!(missing.is_empty(), "read {} misses the session's {missing:?}", request.id);
        let Some(since) = request.since else {
            return;
        };
        for (op, at) in self.acked.iter().filter(|(_, at)| *at < since) {
            assert!(
                reply.seen.contains(op),
                "read {} misses {op}, acknowledged at {at}",
                request.id
            );
        }
    }

    fn not_run(&mut self, request: &Request, end: &End) {
        if request.verb == Verb::Write && !request.within {
            self.forbidden.insert(request.id);
        }
        if request.within && end.status == u32::from(b'I') {
            self.forbidden.extend(request.ops.iter().copied());
            self.forbidden.insert(request.id);
        }
    }

    /// Records that a request was sent. Returns whether this is a retry that
    /// must not overlap an earlier attempt.
    pub fn note_sent(&mut self, id: u64) -> bool {
        let request =
            self.requests.values().find(|request| request.id == id).expect("a known request");
        let sent = self.sent.entry(id).or_default();
        *sent += 1;
        let once = request.class == Class::Write || request.within;
        assert!(!once || *sent == 1, "request {id} was sent twice");
        *sent > 1 && request.class == Class::Idempotent
    }

    /// Checks the final log against all acknowledgements.
    pub fn check_log(&self, server: &Server) {
        let mut count: HashMap<u64, u32> = HashMap::new();
        for op in server.log.iter().flat_map(|entry| &entry.ops) {
            *count.entry(*op).or_default() += 1;
        }
        for (op, times) in &count {
            assert!(*times == 1 || self.repeatable.contains(op), "write {op} is in the log twice");
            assert!(
                !self.forbidden.contains(op),
                "write {op} was reported as not run, but is in the log"
            );
        }
        for (op, _) in &self.acked {
            assert!(count.contains_key(op), "write {op} was acknowledged, but is lost");
        }
    }
}
