//! Commands that grant and end the leases of entries.

use base::prelude::*;
use wire::log;

use super::{Outcome, Refusal};
use crate::state::{Group, State};

impl State {
    /// Ends all leases of the incarnation and of earlier ones, and removes the
    /// entry unless a later incarnation has joined.
    pub(super) fn leave(&mut self, index: u64, departure: &log::Leave) -> Result<Outcome, Refusal> {
        let name = Name::new(&departure.entry).map_err(|_malformed| Refusal::Malformed)?;
        let departed = (name, departure.incarnation);
        let mut found = departure.over && self.departed.remove(&departed).is_some();
        let mut unaware = false;
        for group in self.groups.values_mut() {
            let held = group.leases.len();
            group.leases.retain(|lease| {
                lease.entry != departure.entry || lease.incarnation > departure.incarnation
            });
            if group.leases.len() < held {
                group.generation += 1;
                group.ended_index = index;
                (found, unaware) = (true, !departure.over);
            }
        }
        if unaware {
            self.departed.insert(departed, index);
        }
        let known = self.entries.get(departure.entry.as_str());
        if known.is_some_and(|entry| entry.incarnation <= departure.incarnation) {
            self.entries.remove(departure.entry.as_str());
            found = true;
            // a lease proposed for the removed entry must be refused
            self.groups.values_mut().for_each(|group| group.generation += 1);
        }
        if found { Ok(Outcome::Applied) } else { Err(Refusal::Unknown) }
    }

    pub(super) fn assign(&mut self, index: u64, assign: &log::Assign) -> Result<Outcome, Refusal> {
        let group = self.groups.get(assign.group.as_str()).ok_or(Refusal::Unknown)?;
        if group.generation != assign.base {
            return Err(Refusal::Generation);
        }
        let is_duplicate =
            |at: usize| assign.leases[..at].iter().any(|l| l.entry == assign.leases[at].entry);
        if (0..assign.leases.len()).any(is_duplicate) {
            return Err(Refusal::Malformed);
        }
        self.check_limits(group, assign)?;
        let group = self.groups.get_mut(assign.group.as_str()).ok_or(Refusal::Unknown)?;
        if group.leases.iter().any(|lease| reduces(assign, lease)) {
            group.reduced_index = index;
        }
        let kept = |old: &log::Lease| {
            let same =
                |new: &log::Lease| (&new.entry, new.incarnation) == (&old.entry, old.incarnation);
            assign.leases.iter().any(same)
        };
        if !group.leases.iter().all(kept) {
            group.ended_index = index;
        }
        group.leases = assign.leases.iter().cloned().collect();
        group.generation += 1;
        Ok(Outcome::Applied)
    }

    /// Refuses shares that exceed a server's limit, unless no share of that server
    /// grows: after the server lowered its limit, earlier shares may exceed it.
    fn check_limits(&self, group: &Group, assign: &log::Assign) -> Result<(), Refusal> {
        let shares = || assign.leases.iter().flat_map(|lease| &lease.shares);
        for share in shares() {
            let server = self.servers.get(share.server.as_str()).ok_or(Refusal::Unknown)?;
            let same = || shares().filter(|other| other.server == share.server);
            let connections: u64 = same().map(|other| u64::from(other.connections)).sum();
            let slots: u64 = same().map(|other| u64::from(other.slots)).sum();
            let over =
                connections > u64::from(self.grantable(server)) || slots > u64::from(server.slots);
            if over && grows(group, assign, &share.server) {
                return Err(Refusal::Limit);
            }
        }
        Ok(())
    }
}

/// Whether the new leases reduce an old one. The end of a returning lease is no
/// reduction, since its holder has released it before.
fn reduces(assign: &log::Assign, old: &log::Lease) -> bool {
    let new = assign
        .leases
        .iter()
        .find(|new| new.entry == old.entry && new.incarnation == old.incarnation);
    let Some(new) = new else {
        return !old.returning;
    };
    if new.returning && !old.returning {
        return true;
    }
    old.shares.iter().any(|old| {
        let new = new.shares.iter().find(|new| new.server == old.server);
        new.is_none_or(|new| new.connections < old.connections || new.slots < old.slots)
    })
}

/// Whether any lease has a larger share of a server than before.
fn grows(group: &Group, assign: &log::Assign, server: &str) -> bool {
    let share = |lease: &log::Lease| {
        let share = lease.shares.iter().find(|share| share.server == server);
        share.map_or((0, 0), |share| (share.connections, share.slots))
    };
    assign.leases.iter().any(|lease| {
        let old = group
            .leases
            .iter()
            .find(|old| old.entry == lease.entry && old.incarnation == lease.incarnation);
        let (connections, slots) = old.map_or((0, 0), share);
        share(lease).0 > connections || share(lease).1 > slots
    })
}
