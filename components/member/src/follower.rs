//! Entries (proxy processes) that follow the log through this member.

use base::prelude::*;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use wire::Message as _;
use wire::control::{
    Condition, Down, Entries, Follow, Image, Members, Refuse, Seal, Symptom, down,
};
use wire::log::command::Body;
use wire::log::{Command, Join, Leave};
use wire::quorum::{Heartbeat, Observed, Sealed};

use crate::core::Core;
use crate::pending::Read;

/// Largest size in bytes of one piece of the encoded state.
const CHUNK_BYTES: usize = 256 << 10;

/// Largest number of commands in one message.
const BATCH_COMMANDS: usize = 256;

/// Largest number of missing commands that are sent as commands; an entry that lacks
/// more receives the whole state.
const MAX_CATCH_UP_COMMANDS: u64 = 4_096;

/// Time without a leader after which entries are refused, so that they connect to
/// other members.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest number of unconfirmed heartbeats with returned leases kept for one entry.
const MAX_RETURNED_HEARTBEATS: usize = 16;

/// An entry that follows the log.
#[derive(Debug)]
pub(crate) struct Follower {
    join: Join,
    sender: mpsc::Sender<Down>,
    /// Index of the next command to send.
    next: u64,
    /// Current symptoms of backend servers that the entry reported, one per group.
    symptoms: Vec<Symptom>,
    /// Newest seal of each group that the entry reported: the confirmation that the
    /// entry has ended its work for earlier primaries.
    seals: Vec<Seal>,
    /// Unconfirmed heartbeats that contain returned leases.
    returned: Vec<Heartbeat>,
}

impl Core {
    /// Registers an entry as a follower and sends it the missing part of the log.
    pub(crate) fn add_follower(
        &mut self,
        follow: Follow,
        sender: mpsc::Sender<Down>,
        reply: oneshot::Sender<Key<Follower>>,
    ) {
        let Some(join) = follow.join.filter(|_| self.stopping_since.is_none()) else { return };
        let next = follow.applied + 1;
        let follower = Follower {
            join: join.clone(),
            sender,
            next,
            symptoms: Vec::new(),
            seals: Vec::new(),
            returned: Vec::new(),
        };
        let key = self.followers.insert(follower);
        if reply.send(key).is_err() {
            drop(self.followers.remove(key));
            return;
        }
        self.send_members(key);
        self.catch_up(key);
        self.notify_leader(control::Event::Joined(join));
    }

    /// Sends a follower the addresses of the members.
    fn send_members(&mut self, key: Key<Follower>) {
        let members = &self.replica.members().members;
        let links = members.iter().map(|member| member.link.clone()).collect();
        self.enqueue(key, Down { body: Some(down::Body::Members(Members { links })) });
    }

    /// Sends all followers the current addresses of the members.
    pub(crate) fn broadcast_members(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.send_members(key);
        }
    }

    /// Sends a follower the commands that it lacks, or the whole state.
    fn catch_up(&mut self, key: Key<Follower>) {
        let applied = self.state.index;
        let Some(follower) = self.followers.get_mut(key) else { return };
        let known = follower.next - 1;
        if known >= applied {
            return;
        }
        follower.next = applied + 1;
        let entries = if applied - known <= MAX_CATCH_UP_COMMANDS {
            self.replica.entries_after(known).map(|entries| {
                entries
                    .filter(|entry| entry.index <= applied)
                    .map(entry_message)
                    .collect::<Vec<_>>()
            })
        } else {
            None
        };
        match entries {
            Some(entries) => {
                for batch in entries.chunks(BATCH_COMMANDS) {
                    let entries = Entries { entries: batch.to_vec() };
                    self.enqueue(key, Down { body: Some(down::Body::Entries(entries)) });
                }
            }
            None => self.send_image(key),
        }
    }

    /// Sends a follower the whole state in pieces.
    fn send_image(&mut self, key: Key<Follower>) {
        let index = self.state.index;
        let state = self.image();
        let length = state.len() as u64;
        let mut offset = 0;
        while offset < state.len() {
            let end = (offset + CHUNK_BYTES).min(state.len());
            let bytes = state.slice(offset..end);
            let image = Image { index, offset: offset as u64, length, bytes };
            self.enqueue(key, Down { body: Some(down::Body::Image(image)) });
            offset = end;
        }
    }

    /// Encoded state for entries, shared by all entries that reconnect at the same index.
    fn image(&mut self) -> Bytes {
        let index = self.state.index;
        match &self.image {
            Some((known, bytes)) if *known == index => bytes.clone(),
            _ => {
                let bytes = Bytes::from(self.state.encode_for_entries());
                self.image = Some((index, bytes.clone()));
                bytes
            }
        }
    }

    /// Queues a message for a follower, and drops the follower if its queue is full.
    pub(crate) fn enqueue(&mut self, key: Key<Follower>, down: Down) {
        let Some(follower) = self.followers.get(key) else { return };
        if follower.sender.try_send(down).is_err() {
            drop(self.followers.remove(key));
            self.meter.followers_dropped.inc();
        }
    }

    /// Sends followers the log entries applied since the last call.
    pub(crate) fn send_applied(&mut self) {
        let applied = std::mem::take(&mut self.applied);
        let Some(last) = applied.last().map(|entry| entry.index) else { return };
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(follower) = self.followers.get_mut(key) else { continue };
            let next = follower.next;
            follower.next = next.max(last + 1);
            let lacking = applied.iter().filter(|entry| entry.index >= next).cloned();
            let entries: Vec<_> = lacking.collect();
            for batch in entries.chunks(BATCH_COMMANDS) {
                let entries = Entries { entries: batch.to_vec() };
                self.enqueue(key, Down { body: Some(down::Body::Entries(entries)) });
            }
        }
    }

    /// Sends followers the commands that they lack, or the whole state, after a snapshot
    /// replaced the state.
    pub(crate) fn restore_followers(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.catch_up(key);
        }
    }

    /// Starts the read that confirms a heartbeat. The leader receives the heartbeat in
    /// the same message as the read.
    pub(crate) fn on_heartbeat(&mut self, key: Key<Follower>, received: wire::control::Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        let returned = std::mem::take(&mut follower.returned);
        let heartbeat = Heartbeat {
            join: Some(follower.join.clone()),
            applied: received.applied,
            returned: received.returned,
            symptoms: follower.symptoms.clone(),
            seals: follower.seals.clone(),
        };
        self.entry_indexes.insert(follower.join.entry.clone(), received.applied);
        for heartbeat in returned {
            let note = heartbeat.encode_to_vec().into();
            self.read(Read::ReturnedLeases { key, heartbeat }, Some(note));
        }
        let note = heartbeat.encode_to_vec().into();
        self.read(Read::Heartbeat { key, sequence: received.sequence, heartbeat }, Some(note));
    }

    /// Keeps an unconfirmed heartbeat that contains returned leases, to be sent again
    /// with the next one. The kept heartbeat contains the index that the entry had
    /// applied when it returned the leases.
    pub(crate) fn retain_returned(&mut self, key: Key<Follower>, heartbeat: Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        if !heartbeat.returned.is_empty() && follower.returned.len() < MAX_RETURNED_HEARTBEATS {
            follower.returned.push(Heartbeat { symptoms: Vec::new(), ..heartbeat });
        }
    }

    /// Forwards a keeper's symptom to the leader at once, and repeats it with each heartbeat
    /// until the keeper reports that the server is healthy.
    pub(crate) fn report_symptom(&mut self, key: Key<Follower>, symptom: Symptom) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.symptoms.retain(|known| known.group != symptom.group);
        if symptom.condition() != Condition::Healthy {
            follower.symptoms.push(symptom.clone());
        }
        let entry = follower.join.entry.clone();
        self.forward.symptoms.push(Observed { entry, symptom: Some(symptom) });
    }

    /// Forwards a keeper's seal to the leader at once, and repeats it with each heartbeat.
    pub(crate) fn report_seal(&mut self, key: Key<Follower>, seal: Seal) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.seals.retain(|known| known.group != seal.group);
        follower.seals.push(seal.clone());
        let entry = follower.join.entry.clone();
        let incarnation = follower.join.incarnation;
        self.forward.seals.push(Sealed { entry, incarnation, seal: Some(seal) });
    }

    /// Reports the planned stop of an entry to the leader.
    pub(crate) fn report_leave(&mut self, key: Key<Follower>) {
        let Some(follower) = self.followers.get(key) else { return };
        let (entry, incarnation) = (follower.join.entry.clone(), follower.join.incarnation);
        self.forward.leaves.push(Leave { entry, incarnation, over: true });
    }

    /// Refuses all entries once this member has had no leader for [`LEADERLESS_TIMEOUT`].
    pub(crate) fn refuse_if_leaderless(&mut self) {
        if !self.followers.is_empty() && self.leaderless_for() >= LEADERLESS_TIMEOUT {
            self.refuse_all();
        }
    }

    /// Refuses all entries, so that they connect to other members.
    pub(crate) fn refuse_all(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.enqueue(key, Down { body: Some(down::Body::Refuse(Refuse {})) });
            drop(self.followers.remove(key));
        }
    }
}

/// Converts a log entry to the message for followers.
fn entry_message(entry: &wire::quorum::Entry) -> wire::control::Entry {
    let command = match &entry.body {
        Some(wire::quorum::entry::Body::Command(bytes)) => {
            Command::decode(bytes.clone()).ok().map(without_document)
        }
        Some(wire::quorum::entry::Body::Members(_)) | None => None,
    };
    wire::control::Entry { index: entry.index, command }
}

/// Removes the document of an edition from a command, since only members need it.
pub(crate) fn without_document(mut command: Command) -> Command {
    if let Some(Body::Replace(replace)) = &mut command.body {
        replace.document = Bytes::new();
    }
    command
}
