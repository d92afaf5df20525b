//! Replication to learners on standby.
//!
//! A learner that can't become a voter at present, because all seats are taken, counts for
//! no quorum. It gets entries and the commit index once per tick, and heartbeats only at
//! their interval. With 21 learners next to 5 voters, most messages of a leader otherwise
//! went to members that no round and no commit waits for.

use crate::replica::{Replica, Role};

impl Replica {
    /// Other members that get entries, commit indexes and heartbeat rounds at once.
    pub(crate) fn prompt_peers(&self) -> Vec<u64> {
        self.peers().into_iter().filter(|id| !self.is_standby(*id)).collect()
    }

    /// Whether a member is a learner that can't be promoted at present.
    pub(crate) fn is_standby(&self, id: u64) -> bool {
        let members = &self.members().members;
        let Some(place) = members.iter().position(|member| member.id == id) else { return false };
        let is_counted = self.counted_members().any(|member| member.id == id);
        let has_free_seat = self.voters().count() < self.settings.max_voters;
        let replaces = members[..place].iter().any(|other| other.name == members[place].name);
        !is_counted && !has_free_seat && !replaces
    }

    /// Sends learners on standby the entries and the commit index that they lack.
    pub(crate) fn replicate_to_standby(&mut self) {
        let (last, base, commit) = (self.log.last_index(), self.log.base(), self.commit);
        for id in self.peers() {
            let Role::Leader(lead) = &self.role else { return };
            let Some(peer) = lead.peers.get(&id) else { continue };
            let lacks = peer.next <= last || peer.commit < commit;
            if lacks && peer.next > base && self.is_standby(id) {
                self.replicate(id, true);
            }
        }
    }
}
