//! A leader's side: heartbeats, entries to the others, and what is committed.
//!
//! Only an entry of the leader's own term is committed by counting copies, so
//! a new leader writes an empty one first. A leader that has not heard from a
//! quorum for [`QUORUM_TIMEOUT`] steps down.

use std::collections::BTreeMap;

use base::prelude::*;
use bytes::Bytes;
use wire::quorum::message::Body;
use wire::quorum::{Append, Appended, Campaign, Entry, Piece, Pieced, Propose, entry, propose};

use crate::event::{Effect, Flaw};
use crate::read::Rounds;
use crate::replica::{Replica, Role};
use crate::seen::Seen;
use crate::{ELECTION_TIMEOUT_MAX, HEARTBEAT_INTERVAL, QUORUM_TIMEOUT, WINDOW_ENTRIES};

/// What a leader knows of another member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) matched: u64,
    pub(crate) next: u64,
    pub(crate) round: u64,
    /// When it answered last in this leadership.
    pub(crate) heard: Option<Instant>,
    /// Index and offset of the snapshot on its way.
    pub(crate) snapshot: Option<(u64, u64)>,
}

#[derive(Debug)]
pub(crate) struct Lead {
    /// Index of the leader's first entry.
    pub(crate) start: u64,
    pub(crate) peers: BTreeMap<u64, Progress>,
    pub(crate) rounds: Rounds,
    pub(crate) beat_at: Instant,
    pub(crate) since: Instant,
    /// Who is to lead next, and until when this is tried.
    pub(crate) transfer: Option<(u64, Instant)>,
    /// Proposals of each member.
    pub(crate) seen: BTreeMap<u64, Seen>,
}

impl Lead {
    pub(crate) fn new(now: Instant, start: u64) -> Self {
        Self {
            start,
            peers: BTreeMap::new(),
            rounds: Rounds::default(),
            beat_at: now,
            since: now,
            transfer: None,
            seen: BTreeMap::new(),
        }
    }
}

impl Replica {
    pub(crate) fn leading(&mut self) -> Option<&mut Lead> {
        match &mut self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    /// Begins to lead, with an empty entry of the new term.
    pub(crate) fn take_lead(&mut self, now: Instant) {
        self.set_leader(Some(self.settings.id));
        self.sync_peers();
        self.write(0, 0, None);
        self.beat(now);
    }

    /// One tick of a leader.
    pub(crate) fn lead(&mut self, now: Instant, stalled: bool) {
        if stalled {
            self.forgive(now);
        }
        if !self.hears_quorum(now) {
            self.step_down(now, self.hard.term, None);
            return;
        }
        let Some(lead) = self.leading() else { return };
        if lead.transfer.is_some_and(|(_, until)| now >= until) {
            lead.transfer = None;
        }
        if now >= lead.beat_at {
            self.beat(now);
            self.plan_membership(now);
            // a change of membership may have left a round without answers to come
            self.confirm_reads(now);
        }
    }

    /// After a stall of this process, gives the others time to be heard again.
    fn forgive(&mut self, now: Instant) {
        let Some(lead) = self.leading() else { return };
        lead.since = now;
    }

    fn hears_quorum(&self, now: Instant) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        if now.since(lead.since) < QUORUM_TIMEOUT {
            return true;
        }
        self.is_quorum(|id| self.hears(now, id))
    }

    /// How long each other member has been silent, while this one leads.
    pub fn silences(&self, now: Instant) -> Vec<(u64, Duration)> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let silence = |peer: &Progress| now.since(peer.heard.unwrap_or(lead.since).max(lead.since));
        lead.peers.iter().map(|(id, peer)| (*id, silence(peer))).collect()
    }

    /// Whether a leader has heard a member lately; itself always.
    pub(crate) fn hears(&self, now: Instant, id: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let heard = lead.peers.get(&id).and_then(|peer| peer.heard);
        id == self.settings.id || heard.is_some_and(|heard| now.since(heard) < QUORUM_TIMEOUT)
    }

    /// Sends a heartbeat, with what is due, to all.
    pub(crate) fn beat(&mut self, now: Instant) {
        let Some(lead) = self.leading() else { return };
        lead.beat_at = now + HEARTBEAT_INTERVAL;
        for peer in self.peers() {
            self.feed(peer, true);
        }
        self.hand_over();
    }

    /// Keeps one progress for each other member.
    pub(crate) fn sync_peers(&mut self) {
        let peers = self.peers();
        let next = self.log.last_index() + 1;
        let Some(lead) = self.leading() else { return };
        lead.peers.retain(|id, _| peers.contains(id));
        for peer in peers {
            lead.peers.entry(peer).or_insert(Progress {
                matched: 0,
                next,
                round: 0,
                heard: None,
                snapshot: None,
            });
        }
    }

    /// Writes an entry of the own term and returns its index.
    pub(crate) fn write(&mut self, origin: u64, token: u64, body: Option<entry::Body>) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard.term, origin, token, body };
        self.hold.entry(entry.clone());
        self.log.push(entry);
        index
    }

    /// Sends a member what it lacks; with `beat`, also when it lacks nothing.
    pub(crate) fn feed(&mut self, to: u64, beat: bool) {
        let last = self.log.last_index();
        let commit = self.commit;
        let base = self.log.base();
        let snapshot = self.log.snapshot().index;
        let Some(lead) = self.leading() else { return };
        let round = lead.rounds.current();
        let Some(peer) = lead.peers.get_mut(&to) else { return };
        if peer.next <= base {
            if peer.snapshot.is_none_or(|(index, _)| index != snapshot) {
                peer.snapshot = Some((snapshot, 0));
            }
            if beat {
                self.send_piece(to);
            }
            return;
        }
        peer.snapshot = None;
        let open = peer.next <= last && peer.next - peer.matched <= WINDOW_ENTRIES;
        if !open && !beat {
            return;
        }
        let prev_index = peer.next - 1;
        let from = peer.next;
        let entries =
            if open { self.log.batch(from, self.settings.batch_entries) } else { Vec::new() };
        let prev_term = self.log.term(prev_index).unwrap_or_default();
        let sent = entries.len() as u64;
        if let Some(peer) = self.leading().and_then(|lead| lead.peers.get_mut(&to)) {
            peer.next += sent;
        }
        self.send(to, Body::Append(Append { prev_index, prev_term, commit, round, entries }));
    }

    /// Sends entries to all members that lack some.
    pub(crate) fn feed_all(&mut self) {
        for peer in self.peers() {
            self.feed(peer, false);
        }
    }

    fn send_piece(&mut self, to: u64) {
        let Some(lead) = self.leading() else { return };
        let round = lead.rounds.current();
        let Some(peer) = lead.peers.get(&to) else { return };
        let Some((_, offset)) = peer.snapshot else { return };
        let matched = Append { round, ..Append::default() };
        let snapshot = self.log.snapshot();
        let length = snapshot.data.len() as u64;
        let start = offset.min(length) as usize;
        let end = (start + self.settings.piece_bytes).min(snapshot.data.len());
        let piece = Piece {
            index: snapshot.index,
            term: snapshot.term,
            members: Some(snapshot.members.clone()),
            offset,
            length,
            bytes: snapshot.data.slice(start..end),
        };
        self.send(to, Body::Piece(piece));
        self.send(to, Body::Append(matched));
    }

    pub(crate) fn on_appended(&mut self, now: Instant, from: u64, appended: Appended) {
        let base = self.log.base();
        let last = self.log.last_index();
        let Some(lead) = self.leading() else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard = Some(now);
        peer.round = peer.round.max(appended.round);
        if appended.matched {
            peer.matched = peer.matched.max(appended.index);
            peer.next = peer.next.max(peer.matched + 1);
        } else {
            peer.next = (appended.index + 1).clamp(peer.matched + 1, last + 1);
        }
        let behind = peer.next > base && peer.next <= last;
        if behind || !appended.matched {
            self.feed(from, !appended.matched);
        }
        self.advance(now);
        self.confirm_reads(now);
        self.hand_over();
    }

    pub(crate) fn on_pieced(&mut self, now: Instant, from: u64, pieced: Pieced) {
        let Some(lead) = self.leading() else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard = Some(now);
        let Some((index, offset)) = &mut peer.snapshot else { return };
        if *index != pieced.index {
            return;
        }
        if pieced.done {
            peer.matched = peer.matched.max(pieced.index);
            peer.next = peer.next.max(peer.matched + 1);
            peer.snapshot = None;
            self.feed(from, true);
            self.advance(now);
            return;
        }
        if *offset != pieced.offset {
            *offset = pieced.offset;
            self.send_piece(from);
        }
    }

    /// Commits what a quorum holds.
    pub(crate) fn advance(&mut self, now: Instant) {
        let Role::Leader(lead) = &self.role else { return };
        let own = self.settings.id;
        let durable = match self.settings.flaw {
            Some(Flaw::Unsynced) => self.log.last_index(),
            _ => self.hold.durable(),
        };
        let matched = |id| match lead.peers.get(&id) {
            _ if id == own => durable,
            Some(peer) => peer.matched,
            None => 0,
        };
        let mut held: Vec<u64> = self.counted().map(|member| matched(member.id)).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(self.quorum() - 1).copied() else { return };
        let own_term = self.log.term(index) == Some(self.hard.term);
        let allowed = own_term || self.settings.flaw == Some(Flaw::OldTerm);
        if index > self.commit && allowed {
            self.commit_to(index);
            self.committed(now);
        }
    }

    fn committed(&mut self, now: Instant) {
        self.begin_reads(now);
        self.tell_commit();
        self.plan_membership(now);
    }

    /// Tells the others of the commit at once: entries wait for it.
    fn tell_commit(&mut self) {
        for peer in self.peers() {
            self.feed(peer, true);
        }
    }

    /// Takes a proposal of this member.
    pub(crate) fn propose(&mut self, now: Instant, token: u64, body: propose::Body) {
        let own = self.settings.id;
        match self.leader {
            Some(leader) if leader == own => {
                self.proposals.insert(token);
                self.accept(now, own, token, body);
            }
            Some(leader) => {
                self.proposals.insert(token);
                self.send(leader, Body::Propose(Propose { token, body: Some(body) }));
            }
            None => self.out.push(Effect::Dropped { token, not_run: true }),
        }
    }

    pub(crate) fn on_propose(&mut self, now: Instant, from: u64, propose: Propose) {
        let Some(lead) = self.leading() else { return };
        if !lead.seen.entry(from).or_default().insert(propose.token) {
            return;
        }
        if let Some(body) = propose.body {
            self.accept(now, from, propose.token, body);
        }
    }

    fn accept(&mut self, now: Instant, origin: u64, token: u64, body: propose::Body) {
        if self.leading().is_some_and(|lead| lead.transfer.is_some()) {
            self.drop_own(origin, token);
            return;
        }
        let command = match body {
            propose::Body::Command(command) => command,
            propose::Body::Add(member) => {
                return self.change(now, origin, token, crate::event::Change::Add(member));
            }
            propose::Body::Remove(id) => {
                return self.change(now, origin, token, crate::event::Change::Remove(id));
            }
        };
        self.write_command(origin, token, command);
    }

    /// Gives up a proposal that comes while the leadership moves.
    fn drop_own(&mut self, origin: u64, token: u64) {
        if origin == self.settings.id {
            self.proposals.remove(&token);
            self.out.push(Effect::Dropped { token, not_run: true });
        }
    }

    fn write_command(&mut self, origin: u64, token: u64, command: Bytes) {
        self.write(origin, token, Some(entry::Body::Command(command)));
        self.feed_all();
    }

    /// Picks who is to lead next.
    pub(crate) fn transfer(&mut self, now: Instant) {
        let own = self.settings.id;
        let Role::Leader(lead) = &self.role else { return };
        let matched = |id: u64| lead.peers.get(&id).map(|peer| peer.matched);
        let others = self.voters().map(|member| member.id).filter(|id| *id != own);
        let best = others.max_by_key(|id| matched(*id));
        let until = now + ELECTION_TIMEOUT_MAX;
        if let Some(lead) = self.leading() {
            lead.transfer = best.map(|best| (best, until));
        }
        self.hand_over();
    }

    /// Tells the next leader to campaign once it has everything.
    pub(crate) fn hand_over(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &self.role else { return };
        let Some((next, _)) = lead.transfer else { return };
        if lead.peers.get(&next).is_some_and(|peer| peer.matched == last) {
            self.send(next, Body::Campaign(Campaign {}));
        }
    }
}
