//! Entries that follow the log through this member.

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

use crate::answer::Read;
use crate::core::Core;

/// Piece of an image in bytes.
const PIECE_BYTES: usize = 256 << 10;

/// Commands in one message.
const BATCH: usize = 256;

/// Commands that an entry may lack and still be sent them one by one.
const CATCH_UP: u64 = 4_096;

/// Time without a leader after which entries are sent to other members.
const UNLED_TIMEOUT: Duration = Duration::from_millis(700);

/// Leases given up that wait to be told to the leader, for one entry.
const KEPT: usize = 16;

/// An entry that follows.
#[derive(Debug)]
pub(crate) struct Follower {
    join: Join,
    sender: mpsc::Sender<Down>,
    /// Index that it is sent next.
    next: u64,
    /// What it sees at present.
    symptoms: Vec<Symptom>,
    /// Its newest seal of each group.
    seals: Vec<Seal>,
    /// Pulses with leases given up that were not confirmed.
    returned: Vec<Heartbeat>,
}

impl Core {
    /// An entry begins to follow.
    pub(crate) fn open(
        &mut self,
        follow: Follow,
        sender: mpsc::Sender<Down>,
        reply: oneshot::Sender<Key<Follower>>,
    ) {
        let Some(join) = follow.join.filter(|_| self.stopping.is_none()) else { return };
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
        self.give_members(key);
        self.catch_up(key);
        self.lead(control::Event::Joined(join));
    }

    /// Tells a follower where the members listen.
    fn give_members(&mut self, key: Key<Follower>) {
        let members = &self.replica.members().members;
        let links = members.iter().map(|member| member.link.clone()).collect();
        self.give(key, Down { body: Some(down::Body::Members(Members { links })) });
    }

    /// Tells all followers where the members listen now.
    pub(crate) fn tell_members(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.give_members(key);
        }
    }

    /// Sends a follower what it lacks: commands, or the whole state.
    fn catch_up(&mut self, key: Key<Follower>) {
        let applied = self.state.index;
        let Some(follower) = self.followers.get_mut(key) else { return };
        let known = follower.next - 1;
        if known >= applied {
            return;
        }
        follower.next = applied + 1;
        let entries = if applied - known <= CATCH_UP {
            self.replica.entries_after(known).map(|entries| {
                entries.filter(|entry| entry.index <= applied).map(told).collect::<Vec<_>>()
            })
        } else {
            None
        };
        match entries {
            Some(entries) => {
                for batch in entries.chunks(BATCH) {
                    let entries = Entries { entries: batch.to_vec() };
                    self.give(key, Down { body: Some(down::Body::Entries(entries)) });
                }
            }
            None => self.give_image(key),
        }
    }

    fn give_image(&mut self, key: Key<Follower>) {
        let index = self.state.index;
        let state = self.image();
        let length = state.len() as u64;
        let mut offset = 0;
        while offset < state.len() {
            let end = (offset + PIECE_BYTES).min(state.len());
            let bytes = state.slice(offset..end);
            let image = Image { index, offset: offset as u64, length, bytes };
            self.give(key, Down { body: Some(down::Body::Image(image)) });
            offset = end;
        }
    }

    /// The state for entries; many that come back together share one.
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

    /// Queues a message for a follower; one that is too slow is dropped.
    pub(crate) fn give(&mut self, key: Key<Follower>, down: Down) {
        let Some(follower) = self.followers.get(key) else { return };
        if follower.sender.try_send(down).is_err() {
            drop(self.followers.remove(key));
            self.meter.slow.inc();
        }
    }

    /// Sends followers what was applied since the last call.
    pub(crate) fn tell_followers(&mut self) {
        let applied = std::mem::take(&mut self.applied);
        let Some(last) = applied.last().map(|entry| entry.index) else { return };
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(follower) = self.followers.get_mut(key) else { continue };
            let next = follower.next;
            follower.next = next.max(last + 1);
            let lacking = applied.iter().filter(|entry| entry.index >= next).cloned();
            let entries: Vec<_> = lacking.collect();
            for batch in entries.chunks(BATCH) {
                let entries = Entries { entries: batch.to_vec() };
                self.give(key, Down { body: Some(down::Body::Entries(entries)) });
            }
        }
    }

    /// After a snapshot took the state's place, followers get the whole of it.
    pub(crate) fn restore_followers(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.catch_up(key);
        }
    }

    /// A beat is confirmed by a read that begins now; the leader hears of it
    /// in the same message.
    pub(crate) fn beat(&mut self, key: Key<Follower>, beat: wire::control::Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        let returned = std::mem::take(&mut follower.returned);
        let heartbeat = Heartbeat {
            join: Some(follower.join.clone()),
            applied: beat.applied,
            returned: beat.returned,
            symptoms: follower.symptoms.clone(),
            seals: follower.seals.clone(),
        };
        self.seen.insert(follower.join.entry.clone(), beat.applied);
        for heartbeat in returned {
            let note = heartbeat.encode_to_vec().into();
            self.read(Read::Returned { key, heartbeat }, Some(note));
        }
        let note = heartbeat.encode_to_vec().into();
        self.read(Read::Beat { key, sequence: beat.sequence, heartbeat }, Some(note));
    }

    /// Keeps leases given up for the next beat. They go with the index that
    /// the entry had applied then.
    pub(crate) fn keep_returned(&mut self, key: Key<Follower>, heartbeat: Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        if !heartbeat.returned.is_empty() && follower.returned.len() < KEPT {
            follower.returned.push(Heartbeat { symptoms: Vec::new(), ..heartbeat });
        }
    }

    /// What a keeper sees goes to the leader at once, and with each beat.
    pub(crate) fn symptom(&mut self, key: Key<Follower>, symptom: Symptom) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.symptoms.retain(|known| known.group != symptom.group);
        if symptom.condition() != Condition::Healthy {
            follower.symptoms.push(symptom.clone());
        }
        let entry = follower.join.entry.clone();
        self.forward.symptoms.push(Observed { entry, symptom: Some(symptom) });
    }

    /// A keeper's seal goes to the leader at once, and with each beat.
    pub(crate) fn seal(&mut self, key: Key<Follower>, seal: Seal) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.seals.retain(|known| known.group != seal.group);
        follower.seals.push(seal.clone());
        let entry = follower.join.entry.clone();
        let incarnation = follower.join.incarnation;
        self.forward.seals.push(Sealed { entry, incarnation, seal: Some(seal) });
    }

    /// An entry stopped.
    pub(crate) fn left(&mut self, key: Key<Follower>) {
        let Some(follower) = self.followers.get(key) else { return };
        let (entry, incarnation) = (follower.join.entry.clone(), follower.join.incarnation);
        self.forward.leaves.push(Leave { entry, incarnation, over: true });
    }

    /// Sends entries elsewhere when this member has lost its leader.
    pub(crate) fn refuse_unled(&mut self) {
        if !self.followers.is_empty() && self.unled_for() >= UNLED_TIMEOUT {
            self.refuse_all();
        }
    }

    /// Sends all entries elsewhere.
    pub(crate) fn refuse_all(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.give(key, Down { body: Some(down::Body::Refuse(Refuse {})) });
            drop(self.followers.remove(key));
        }
    }
}

fn told(entry: &wire::quorum::Entry) -> wire::control::Entry {
    let command = match &entry.body {
        Some(wire::quorum::entry::Body::Command(bytes)) => {
            Command::decode(bytes.clone()).ok().map(without_document)
        }
        Some(wire::quorum::entry::Body::Members(_)) | None => None,
    };
    wire::control::Entry { index: entry.index, command }
}

/// A command as entries get it: the document of an edition is for members only.
pub(crate) fn without_document(mut command: Command) -> Command {
    if let Some(Body::Replace(replace)) = &mut command.body {
        replace.document = Bytes::new();
    }
    command
}
