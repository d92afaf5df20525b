//! Faults: failures of servers and connections, failovers, changes of leases
//! and lost fronts.

use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use keeper::{Connection, Event, Front, Lease};

use super::{CALLERS, Failover, SERVERS, World};
use crate::link::{Job, Link};
use crate::server::Server;

impl World {
    /// Whether a write left behind by a broken connection may still be
    /// acknowledged.
    pub(super) fn may_write(&self, id: u64, term: Term, detached: &Link) -> bool {
        let waits = detached
            .jobs
            .iter()
            .any(|job| matches!(job, Job::Run { id: other, .. } if *other == id));
        let server = &self.servers[detached.server];
        let leads = server.alive && server.term == term && server.role == Role::Primary;
        let left = self.servers.iter().filter(|other| other.term > term).count();
        waits && leads && left < 2
    }

    /// Partitions one server from the other servers, and makes one or both of
    /// the other servers unreachable for the group.
    pub(super) fn partition(&mut self, index: usize, first: bool, second: bool) {
        for (other, server) in self.servers.iter_mut().enumerate() {
            server.cut = other == index;
        }
        self.unreachable = [false; SERVERS];
        self.unreachable[(index + 1) % SERVERS] = first || !second;
        self.unreachable[(index + 2) % SERVERS] = second;
    }

    /// Partitions the primary and promotes another server, which the group can't
    /// reach. With `both`, the group can't reach the replica that follows the
    /// new primary either.
    pub(super) fn replace_primary(&mut self, both: bool) {
        let leads = |server: &Server| server.alive && server.role == Role::Primary;
        let primaries = (0..SERVERS).filter(|index| leads(&self.servers[*index]));
        let Some(old) = primaries.max_by_key(|index| self.servers[*index].term) else {
            return;
        };
        let others = [(old + 1) % SERVERS, (old + 2) % SERVERS];
        let candidate = others.into_iter().max_by_key(|index| self.servers[*index].last());
        let second = candidate == Some(others[1]);
        self.partition(old, both || !second, both || second);
        self.term = Term(self.term.0 + 1);
        self.failover = Some(Failover { term: self.term, fenced: Vec::new(), primary: None });
        for target in others.into_iter().cycle().take(6) {
            self.advance(target);
        }
        self.write_by_other_keeper();
        for target in others.into_iter().cycle().take(8) {
            self.replicate(target, 1);
        }
    }

    pub(super) fn heal(&mut self) {
        self.servers.iter_mut().for_each(|server| server.cut = false);
        self.unreachable = [false; SERVERS];
    }

    /// Disconnects a caller and replaces it by a new one.
    pub(super) fn leave(&mut self, number: usize) {
        let front = self.fronts[self.callers[number].front];
        self.forget(number);
        self.feed(Event::Leave { front, caller: number as u64 });
    }

    pub(super) fn disconnect_front(&mut self, index: usize) {
        let gone = self.fronts[index];
        for number in (0..CALLERS).filter(|number| number % 2 == index) {
            self.forget(number);
        }
        self.fronts[index] = Front(gone.0 + 2);
        self.feed(Event::Disconnected { front: gone });
    }

    /// Breaks a random connection. Answers in transit may be lost.
    pub(super) fn break_link(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.links.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.links.len())?;
        let conn = *self.links.keys().nth(index).expect("an index in range");
        let kept = u.int_in_range(0..=3)?;
        self.break_conn(conn, kept);
        Ok(())
    }

    /// Breaks a connection. The first `kept` events in transit still arrive.
    pub(super) fn break_conn(&mut self, conn: Key<Connection>, kept: usize) {
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        if matches!(link.events.back(), Some(Event::Closed { .. })) {
            return;
        }
        let mut detached = Link::new(conn, link.server);
        std::mem::swap(&mut detached.jobs, &mut link.jobs);
        detached.open = link.open.take();
        link.events.truncate(kept);
        link.events.push_back(Event::Closed { conn });
        link.paused = false;
        if link.established && !detached.jobs.is_empty() {
            self.detached.push((self.servers[detached.server].term, detached));
        }
    }

    /// Runs a job left behind by a broken connection, unless its server was
    /// fenced since.
    pub(super) fn step_detached(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.detached.is_empty() {
            return Ok(());
        }
        let (term, mut detached) = self.detached.swap_remove(u.choose_index(self.detached.len())?);
        let server = &mut self.servers[detached.server];
        if server.alive && server.term == term {
            detached.execute(server, &mut self.oracle);
            self.oracle.observe(detached.server, server);
        }
        Ok(())
    }

    /// Simulates another keeper that writes on the primary of the highest term.
    pub(super) fn write_by_other_keeper(&mut self) {
        let leads = |server: &Server| server.alive && server.role == Role::Primary;
        let primaries = (0..SERVERS).filter(|index| leads(&self.servers[*index]));
        if let Some(index) = primaries.max_by_key(|index| self.servers[*index].term) {
            self.servers[index].append(vec![self.next]);
            self.oracle.other_writes.push(self.next);
            self.oracle.observe(index, &self.servers[index]);
            self.next += 1;
        }
        self.oracle.acknowledge_other_writes(self.now);
    }

    pub(super) fn step_failover(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.failover.is_none() {
            if u.ratio(1, 3)? {
                self.term = Term(self.term.0 + 1);
                self.failover =
                    Some(Failover { term: self.term, fenced: Vec::new(), primary: None });
            }
            self.rejoin(u.choose_index(SERVERS)?);
            return Ok(());
        }
        for _ in 0..u.int_in_range(1..=6)? {
            let target = u.choose_index(SERVERS)?;
            self.advance(target);
        }
        Ok(())
    }

    /// Makes a server that was left out of a failover follow the new primary.
    pub(super) fn rejoin(&mut self, target: usize) {
        let term = self.servers[target].term;
        let leads = |server: &Server| server.role == Role::Primary && server.term > term;
        let primaries = (0..SERVERS).filter(|index| leads(&self.servers[*index]));
        let primary = primaries.max_by_key(|index| self.servers[*index].term);
        if let Some(primary) = primary.filter(|_| !self.servers[target].cut) {
            let term = self.servers[primary].term;
            self.servers[target].follow(term, primary);
        }
    }

    /// Performs one step of the failover in progress on one server.
    pub(super) fn advance(&mut self, target: usize) {
        let Some(failover) = &mut self.failover else {
            return;
        };
        if !self.servers[target].alive || self.servers[target].cut {
            return;
        }
        match failover.primary {
            None if !failover.fenced.contains(&target) => {
                self.servers[target].fence(failover.term);
                failover.fenced.push(target);
            }
            None if failover.fenced.len() >= 2 => {
                let best = failover.fenced.iter().copied().max_by_key(|n| self.servers[*n].last());
                let best = best.filter(|best| self.servers[*best].alive);
                let promoted = best.filter(|best| self.servers[*best].promote(failover.term));
                match promoted {
                    None => self.failover = None,
                    promoted => failover.primary = promoted,
                }
            }
            Some(primary) if primary != target => {
                self.servers[target].follow(failover.term, primary);
                let follows = |server: &Server| server.following == Some(primary);
                if self.servers.iter().filter(|server| follows(server)).count() >= 1 {
                    self.failover = None;
                }
            }
            None | Some(_) => {}
        }
    }

    pub(super) fn crash(&mut self, index: usize) {
        self.servers[index].alive = false;
        self.detached.retain(|(_, detached)| detached.server != index);
        let conns: Vec<_> =
            self.links.values().filter(|link| link.server == index).map(|link| link.conn).collect();
        for conn in conns {
            self.break_conn(conn, 1);
        }
        self.detached.retain(|(_, detached)| detached.server != index);
    }

    pub(super) fn revive(&mut self, index: usize) {
        if !self.servers[index].alive {
            self.servers[index].restart();
        }
    }

    pub(super) fn change_lease(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.arbitrary()? {
            self.leased = u.ratio(4, 5)?;
            self.feed(Event::Leased(self.leased));
            return Ok(());
        }
        self.setup.lease = match u.int_in_range(0..=5_u8)? {
            0 => Lease::Returning,
            1 => Lease::None,
            _ => Lease::Held,
        };
        self.feed(Event::Setup(self.setup.clone()));
        Ok(())
    }

    pub(super) fn change_servers(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = &mut self.setup.servers[u.choose_index(SERVERS)?];
        server.leaving = u.ratio(1, 4)?;
        server.connections = u.int_in_range(2..=6)?;
        self.feed(Event::Setup(self.setup.clone()));
        Ok(())
    }
}
