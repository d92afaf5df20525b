//! Leader role: heartbeats, replication of entries, and the commit index.
//!
//! Only an entry of the leader's own term is committed by counting replicas, so
//! a new leader first appends an empty entry. A leader without contact from a
//! quorum for [`QUORUM_TIMEOUT`] steps down.

use std::collections::BTreeMap;

use base::prelude::*;
use bytes::Bytes;
use wire::quorum::message::Body;
use wire::quorum::{
    Append, Appended, Campaign, Entry, Install, Installed, Propose, entry, propose,
};

use crate::dedup::Tokens;
use crate::event::{Effect, Flaw};
use crate::read::Rounds;
use crate::replica::{Replica, Role};
use crate::{ELECTION_TIMEOUT_MAX, HEARTBEAT_INTERVAL, QUORUM_TIMEOUT, WINDOW_ENTRIES};

/// Replication progress of another member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index up to which the member's log is known to match.
    pub(crate) matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Last heartbeat round that the member has answered.
    pub(crate) round: u64,
    /// Time of the member's last answer to this leader.
    pub(crate) heard_at: Option<Instant>,
    /// Index of the snapshot that is being sent, and the offset of its next piece in bytes.
    pub(crate) snapshot: Option<(u64, u64)>,
    /// Commit index that was sent last.
    pub(crate) commit: u64,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Index of the first entry of this leader's term.
    pub(crate) first_index: u64,
    pub(crate) peers: BTreeMap<u64, Progress>,
    pub(crate) rounds: Rounds,
    pub(crate) next_heartbeat_at: Instant,
    /// Time from which the contact timeout of the quorum counts: the start of the
    /// leadership, or the end of the last stall.
    pub(crate) contact_since: Instant,
    /// Target of a leadership transfer, and the time at which the transfer is abandoned.
    pub(crate) transfer: Option<(u64, Instant)>,
    /// Recent proposals of each member, to detect duplicates.
    pub(crate) proposals: BTreeMap<u64, Tokens>,
}

impl Leader {
    pub(crate) fn new(now: Instant, first_index: u64) -> Self {
        Self {
            first_index,
            peers: BTreeMap::new(),
            rounds: Rounds::default(),
            next_heartbeat_at: now,
            contact_since: now,
            transfer: None,
            proposals: BTreeMap::new(),
        }
    }
}

impl Replica {
    pub(crate) fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    /// Takes up the leader role and appends an empty entry of the new term.
    pub(crate) fn become_leader(&mut self, now: Instant) {
        self.set_leader(Some(self.settings.id));
        self.sync_peers();
        self.append(0, 0, None);
        self.broadcast_heartbeat(now);
    }

    /// Handles a tick at the leader.
    pub(crate) fn tick_leader(&mut self, now: Instant, stalled: bool) {
        if stalled {
            self.restart_quorum_timeout(now);
        }
        if !self.has_active_quorum(now) {
            self.step_down(now, self.hard.term, None);
            return;
        }
        let Some(lead) = self.leader_mut() else { return };
        if lead.transfer.is_some_and(|(_, until)| now >= until) {
            lead.transfer = None;
        }
        if now >= lead.next_heartbeat_at {
            self.broadcast_heartbeat(now);
            self.advance_membership(now);
            // after a membership change, the remaining voters may all have answered the round
            self.confirm_reads(now);
        } else {
            self.replicate_to_standby();
        }
    }

    /// After a stall of this process, gives the others time to answer again.
    fn restart_quorum_timeout(&mut self, now: Instant) {
        let Some(lead) = self.leader_mut() else { return };
        lead.contact_since = now;
    }

    fn has_active_quorum(&self, now: Instant) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        if now.since(lead.contact_since) < QUORUM_TIMEOUT {
            return true;
        }
        self.is_quorum(|id| self.is_active(now, id))
    }

    /// Time since the last answer of each other member; empty unless this member leads.
    pub fn silences(&self, now: Instant) -> Vec<(u64, Duration)> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let silence = |peer: &Progress| {
            now.since(peer.heard_at.unwrap_or(lead.contact_since).max(lead.contact_since))
        };
        lead.peers.iter().map(|(id, peer)| (*id, silence(peer))).collect()
    }

    /// Whether this leader had contact from a member within the quorum timeout. The leader
    /// itself is always active.
    pub(crate) fn is_active(&self, now: Instant, id: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let heard = lead.peers.get(&id).and_then(|peer| peer.heard_at);
        id == self.settings.id || heard.is_some_and(|heard| now.since(heard) < QUORUM_TIMEOUT)
    }

    /// Sends all other members a heartbeat, with entries or a piece of a snapshot if they
    /// lack any.
    pub(crate) fn broadcast_heartbeat(&mut self, now: Instant) {
        let Some(lead) = self.leader_mut() else { return };
        lead.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        for peer in self.peers() {
            self.replicate(peer, true);
        }
        self.advance_transfer();
    }

    /// Sends a heartbeat of a new round to the members that the round may need.
    pub(crate) fn broadcast_round(&mut self) {
        for peer in self.prompt_peers() {
            self.replicate(peer, true);
        }
        self.advance_transfer();
    }

    /// Adjusts the tracked progress to the current membership.
    pub(crate) fn sync_peers(&mut self) {
        let peers = self.peers();
        let next = self.log.last_index() + 1;
        let Some(lead) = self.leader_mut() else { return };
        lead.peers.retain(|id, _| peers.contains(id));
        for peer in peers {
            lead.peers.entry(peer).or_insert(Progress {
                matched: 0,
                next,
                round: 0,
                heard_at: None,
                snapshot: None,
                commit: 0,
            });
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append(&mut self, origin: u64, token: u64, body: Option<entry::Body>) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard.term, origin, token, body };
        self.barrier.push_entry(entry.clone());
        self.log.push(entry);
        index
    }

    /// Sends a member the entries that it lacks. With `heartbeat`, a message is also sent if the
    /// member lacks nothing, and a member that needs a snapshot gets a piece of it.
    pub(crate) fn replicate(&mut self, to: u64, heartbeat: bool) {
        let last = self.log.last_index();
        let commit = self.commit;
        let base = self.log.base();
        let snapshot = self.log.snapshot().index;
        let Some(lead) = self.leader_mut() else { return };
        let round = lead.rounds.current();
        let Some(peer) = lead.peers.get_mut(&to) else { return };
        if peer.next <= base {
            if peer.snapshot.is_none_or(|(index, _)| index != snapshot) {
                peer.snapshot = Some((snapshot, 0));
            }
            if heartbeat {
                self.send_piece(to);
            }
            return;
        }
        peer.snapshot = None;
        let due = peer.next <= last && peer.next - peer.matched <= WINDOW_ENTRIES;
        if !due && !heartbeat {
            return;
        }
        let prev_index = peer.next - 1;
        let from = peer.next;
        let entries =
            if due { self.log.batch(from, self.settings.batch_entries) } else { Vec::new() };
        let prev_term = self.log.term(prev_index).unwrap_or_default();
        let sent = entries.len() as u64;
        if let Some(peer) = self.leader_mut().and_then(|lead| lead.peers.get_mut(&to)) {
            peer.next += sent;
            peer.commit = commit;
        }
        self.send(to, Body::Append(Append { prev_index, prev_term, commit, round, entries }));
    }

    /// Sends entries to all members that lack some; learners on standby get them with the next
    /// tick.
    pub(crate) fn replicate_all(&mut self) {
        for peer in self.prompt_peers() {
            self.replicate(peer, false);
        }
    }

    fn send_piece(&mut self, to: u64) {
        let Some(lead) = self.leader_mut() else { return };
        let round = lead.rounds.current();
        let Some(peer) = lead.peers.get(&to) else { return };
        let Some((_, offset)) = peer.snapshot else { return };
        // an append at index zero always matches, so the member answers the heartbeat round
        let heartbeat = Append { round, ..Append::default() };
        let snapshot = self.log.snapshot();
        let length = snapshot.data.len() as u64;
        let start = offset.min(length) as usize;
        let end = (start + self.settings.piece_bytes).min(snapshot.data.len());
        let install = Install {
            index: snapshot.index,
            term: snapshot.term,
            members: Some(snapshot.members.clone()),
            offset,
            length,
            bytes: snapshot.data.slice(start..end),
        };
        self.send(to, Body::Install(install));
        self.send(to, Body::Append(heartbeat));
    }

    pub(crate) fn on_appended(&mut self, now: Instant, from: u64, appended: Appended) {
        let base = self.log.base();
        let last = self.log.last_index();
        if appended.matched && appended.index > last {
            // no member can hold entries that its leader lacks
            return;
        }
        let Some(lead) = self.leader_mut() else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard_at = Some(now);
        peer.round = peer.round.max(appended.round);
        if appended.matched {
            peer.matched = peer.matched.max(appended.index);
            peer.next = peer.next.max(peer.matched + 1);
        } else {
            peer.next = (appended.index + 1).clamp(peer.matched + 1, last + 1);
        }
        let behind = peer.next > base && peer.next <= last;
        let far_behind = behind && last - peer.next >= self.settings.batch_entries as u64;
        let continues = behind && (far_behind || !self.is_standby(from));
        if continues || !appended.matched {
            self.replicate(from, !appended.matched);
        }
        self.advance_commit(now);
        self.confirm_reads(now);
        self.advance_transfer();
    }

    pub(crate) fn on_installed(&mut self, now: Instant, from: u64, installed: Installed) {
        let Some(lead) = self.leader_mut() else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard_at = Some(now);
        let Some((index, offset)) = &mut peer.snapshot else { return };
        if *index != installed.index {
            return;
        }
        if installed.done {
            peer.matched = peer.matched.max(installed.index);
            peer.next = peer.next.max(peer.matched + 1);
            peer.snapshot = None;
            self.replicate(from, true);
            self.advance_commit(now);
            return;
        }
        if *offset != installed.offset {
            *offset = installed.offset;
            self.send_piece(from);
        }
    }

    /// Advances the commit index to the last entry that a quorum holds.
    pub(crate) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(lead) = &self.role else { return };
        let own = self.settings.id;
        let durable = match self.settings.flaw {
            Some(Flaw::Unsynced) => self.log.last_index(),
            _ => self.barrier.durable_index(),
        };
        let matched = |id| match lead.peers.get(&id) {
            _ if id == own => durable,
            Some(peer) => peer.matched,
            None => 0,
        };
        let mut held: Vec<u64> = self.counted_members().map(|member| matched(member.id)).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(self.quorum_size() - 1).copied() else { return };
        let own_term = self.log.term(index) == Some(self.hard.term);
        let allowed = own_term || self.settings.flaw == Some(Flaw::OldTerm);
        if index > self.commit && allowed {
            self.commit_to(index);
            self.on_commit_advanced(now);
        }
    }

    fn on_commit_advanced(&mut self, now: Instant) {
        self.begin_reads(now);
        self.broadcast_commit();
        self.advance_membership(now);
    }

    /// Sends the new commit index to the others at once, because they apply entries only up to
    /// it; learners on standby get it with the next tick.
    fn broadcast_commit(&mut self) {
        for peer in self.prompt_peers() {
            self.replicate(peer, true);
        }
    }

    /// Handles a proposal of this member: accepts the proposal if this member leads, forwards it
    /// to a known leader, and drops it otherwise.
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
        let Some(lead) = self.leader_mut() else { return };
        if !lead.proposals.entry(from).or_default().insert(propose.token) {
            return;
        }
        if let Some(body) = propose.body {
            self.accept(now, from, propose.token, body);
        }
    }

    fn accept(&mut self, now: Instant, origin: u64, token: u64, body: propose::Body) {
        if self.leader_mut().is_some_and(|lead| lead.transfer.is_some()) {
            self.drop_proposal(origin, token);
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
        self.append_command(origin, token, command);
    }

    /// Drops a proposal that arrives during a leadership transfer. Only this member's own
    /// proposals are reported as dropped.
    fn drop_proposal(&mut self, origin: u64, token: u64) {
        if origin == self.settings.id {
            self.proposals.remove(&token);
            self.out.push(Effect::Dropped { token, not_run: true });
        }
    }

    fn append_command(&mut self, origin: u64, token: u64, command: Bytes) {
        self.append(origin, token, Some(entry::Body::Command(command)));
        self.replicate_all();
    }

    /// Starts a transfer of the leadership to the voter with the longest matching log.
    pub(crate) fn transfer(&mut self, now: Instant) {
        let own = self.settings.id;
        let Role::Leader(lead) = &self.role else { return };
        let matched = |id: u64| lead.peers.get(&id).map(|peer| peer.matched);
        let others = self.voters().map(|member| member.id).filter(|id| *id != own);
        let best = others.max_by_key(|id| matched(*id));
        let until = now + ELECTION_TIMEOUT_MAX;
        if let Some(lead) = self.leader_mut() {
            lead.transfer = best.map(|best| (best, until));
        }
        self.advance_transfer();
    }

    /// Asks the target of a transfer to campaign once its log is complete.
    pub(crate) fn advance_transfer(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &self.role else { return };
        let Some((target, _)) = lead.transfer else { return };
        if lead.peers.get(&target).is_some_and(|peer| peer.matched == last) {
            self.send(target, Body::Campaign(Campaign {}));
        }
    }
}
