//! Fuzz test of the replication log: fences, promotions, batches, commits and
//! restarts in any order keep the logs of a group consistent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::prelude::*;
use standin::Log;
use standin::log::{Batch, Statement};

const SERVERS: usize = 3;
const STEPS: usize = 120;
const SCHEDULES: u64 = 300;
// number of random bytes of a schedule, the lower 32 bits of an arbtest seed
const BYTES: u64 = 4_096;

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + server as u16))
}

struct World {
    logs: Vec<Log>,
    written: u64,
    // SQL text of each entry when it was appended on a primary
    oracle: BTreeMap<(Term, Position), String>,
    // batches in flight: receiver, term, primary, batch
    batches: Vec<(usize, Term, usize, Batch)>,
}

impl World {
    fn new() -> Self {
        let logs = (0..SERVERS).map(|_| Log::new()).collect();
        Self { logs, written: 0, oracle: BTreeMap::new(), batches: Vec::new() }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = u.choose_index(SERVERS)?;
        let other = u.choose_index(SERVERS)?;
        let term = Term(u.int_in_range(0..=2)? + self.logs[other].term().0);
        match u.int_in_range(0..=14)? {
            0 => self.fence(server, term),
            1 => self.promote(server, term),
            2 | 11 => self.follow(server, other),
            3 | 4 | 12 => self.write(server),
            5 | 6 => self.send_batch(server),
            7 => self.receive(u)?,
            8 => self.logs[server].apply(Position(u.int_in_range(0..=self.written)?)),
            9 => self.logs[server].restart(),
            10 => self.failover(server, u)?,
            _ => {
                self.send_batch(server);
                self.receive(u)?;
            }
        }
        Ok(())
    }

    fn fence(&mut self, server: usize, term: Term) {
        let before = self.logs[server].clone();
        self.logs[server].fence(term);
        let log = &self.logs[server];
        assert_eq!(log.term(), before.term().max(term));
        assert_eq!(log.last(), before.last(), "a fence must not change the log");
        if term > before.term() {
            assert_eq!((log.role(), log.following()), (Role::Replica, None));
        }
    }

    // control promotes at most one server per term, after a majority was fenced
    fn promote(&mut self, server: usize, term: Term) {
        let taken = self.oracle.keys().any(|(known, _)| *known == term);
        let log = &mut self.logs[server];
        if taken && log.role() != Role::Primary {
            return;
        }
        let before = log.last();
        let ready = log.is_promotable(term) && log.pending().is_empty();
        log.promote(term);
        if ready {
            assert_eq!(log.role(), Role::Primary);
            assert_eq!(log.last(), Mark { term, position: Position(before.position.0 + 1) });
            self.oracle.insert((term, log.last().position), String::new());
        } else {
            assert_eq!(log.last(), before);
        }
    }

    // a failover as control runs it; some servers may miss the `follow`
    fn failover(&mut self, chosen: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let highest = self.logs.iter().map(Log::term).max().unwrap_or_default();
        let term = Term(highest.0 + 1);
        self.fence(chosen, term);
        let last = self.logs[chosen].last().position;
        self.logs[chosen].apply(last);
        self.promote(chosen, term);
        for server in (0..SERVERS).filter(|server| *server != chosen) {
            if u.ratio(2, 3)? {
                self.follow(server, chosen);
            }
        }
        Ok(())
    }

    fn follow(&mut self, server: usize, primary: usize) {
        let term = self.logs[primary].term();
        if self.logs[primary].role() == Role::Primary {
            self.logs[server].follow(term, address(primary));
        }
    }

    fn write(&mut self, server: usize) {
        self.written += 1;
        let sql = format!("write {}", self.written);
        let statement = Statement { sql: sql.clone(), values: Vec::new() };
        let log = &mut self.logs[server];
        let (term, role, before) = (log.term(), log.role(), log.last());
        let Some(mark) = log.append(vec![statement]) else {
            assert_eq!((role, log.last()), (Role::Replica, before));
            return;
        };
        assert_eq!(mark, Mark { term, position: Position(before.position.0 + 1) });
        assert!(self.oracle.insert((mark.term, mark.position), sql).is_none());
    }

    fn send_batch(&mut self, server: usize) {
        let log = &self.logs[server];
        let Some(followed) = log.following() else {
            return;
        };
        let primary = usize::from(followed.port()) - 1;
        let batch =
            self.logs[primary].next_batch(log.term(), log.term_starts(), log.last().position);
        if let Some(batch) = batch {
            self.batches.push((server, log.term(), primary, batch));
        }
    }

    // delivers a random batch in flight, which may be late and may arrive again
    fn receive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.batches.is_empty() {
            return Ok(());
        }
        let at = u.choose_index(self.batches.len())?;
        let (server, term, primary, batch) = self.batches[at].clone();
        let (joined, before) = (self.logs[server].term(), self.logs[server].last());
        self.logs[server].receive(term, address(primary), &batch);
        let log = &self.logs[server];
        assert_eq!(log.term(), joined, "a batch must not change the term");
        assert!(term == joined || log.last() == before, "a batch of another term must be ignored");
        let shrunk = before.term == joined && log.last() < before;
        assert!(!shrunk, "a batch must not truncate entries of its own term");
        if u.ratio(9, 10)? {
            self.batches.swap_remove(at);
        }
        Ok(())
    }

    fn check(&self) {
        for log in &self.logs {
            assert!(log.applied().position <= log.last().position);
            assert!(log.last().term <= log.term());
            for (index, entry) in log.entries().iter().enumerate() {
                let key = (entry.term, Position(index as u64 + 1));
                let sql = entry.statements.first().map_or("", |statement| &statement.sql);
                assert_eq!(self.oracle.get(&key).map(String::as_str), Some(sql), "{key:?}");
            }
            let firsts = log.entries().iter().enumerate().filter(|(index, entry)| {
                index.checked_sub(1).is_none_or(|before| log.entries()[before].term < entry.term)
            });
            let starts = firsts.map(|(index, entry)| Mark::new(entry.term.0, index as u64));
            assert_eq!(log.term_starts(), starts.collect::<Vec<_>>());
            let history = log.history();
            for (index, entry) in log.entries().iter().enumerate() {
                let mark = Mark { term: entry.term, position: Position(index as u64 + 1) };
                let trimmed = history.starts().first().is_some_and(|start| start.term > mark.term);
                assert!(
                    trimmed || history.inclusion(mark) == base::mark::Inclusion::Included,
                    "{mark}"
                );
            }
        }
        self.check_alike();
    }

    // logs with an entry of the same term at the same position are identical up to
    // that entry
    fn check_alike(&self) {
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            let (one, other) = (self.logs[one].entries(), self.logs[other].entries());
            let shared = one.iter().zip(other).rposition(|(one, other)| one.term == other.term);
            let shared = shared.map_or(0, |last| last + 1);
            assert_eq!(one[..shared], other[..shared]);
        }
    }
}

#[test]
fn keeps_logs_alike_under_any_schedule() {
    let wanted = std::env::var("TREFOIL_FUZZ_SCHEDULES").ok().and_then(|text| text.parse().ok());
    for seed in 0..wanted.unwrap_or(SCHEDULES) {
        arbtest(|u| {
            let mut world = World::new();
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                world.step(u)?;
                world.check();
            }
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}
