//! Tracks which backend servers still announce themselves.
//!
//! An announcement that changes nothing is not proposed to the log. One that no server can
//! have sent is dropped ([`is_valid`]): what is proposed is in the log from then on.
//!
//! A late announcement must not undo a newer one, so announcements with lower sequence numbers
//! or of earlier incarnations are dropped. But an announcement by another writer may claim a
//! number that hides all those of the server itself. The server goes on to announce itself, and
//! the other number is not heard again: after [`ANNOUNCE_TIMEOUT`] without an announcement at or
//! above the newest number, the next one counts, whatever its number.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::log::{Announce, Expire, command};

use crate::leader::{Effect, PROPOSAL_TIMEOUT};
use crate::state::{Server, State};

/// Time between two announcements of a backend server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an announcement after which a backend server expires.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest sequence number and incarnation: the largest whole number that each reader of JSON
/// takes exactly.
pub const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Largest number of slots and connections that a server may announce.
pub const MAX_CAPACITY: u32 = 1 << 20;

/// Whether a backend server can have sent an announcement: names and address can be read,
/// the address can be reached, and the numbers are within their limits.
pub fn is_valid(announce: &Announce) -> bool {
    let Some((_, server)) = Server::from_announce(announce) else {
        return false;
    };
    let is_reachable = server.address.port() > 0 && !server.address.ip().is_unspecified();
    let capacity = 1..=MAX_CAPACITY;
    is_reachable
        && capacity.contains(&announce.slots)
        && capacity.contains(&announce.connections)
        && announce.incarnation <= MAX_NUMBER
        && announce.sequence <= MAX_NUMBER
}

#[derive(Debug)]
struct Renewal {
    /// When the newest announcement arrived.
    heard: Instant,
    /// Announcement that was proposed last, and when.
    proposed: Option<(Announce, Instant)>,
    /// Incarnation and sequence number of the newest announcement.
    newest: (u64, u64),
    /// When the expiry of the server was proposed last.
    expired: Option<Instant>,
}

/// Backend servers from which the leader received announcements.
#[derive(Debug, Default)]
pub struct Renewals {
    servers: BTreeMap<Name, Renewal>,
}

impl Renewals {
    /// Creates a tracker that knows no server yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement and proposes it if it changes the state.
    pub fn record_announce(
        &mut self,
        now: Instant,
        state: &State,
        announce: Announce,
        out: &mut Vec<Effect>,
    ) {
        if !is_valid(&announce) {
            return;
        }
        let checked = state.check_announce(&announce);
        let Ok(name) = Name::new(&announce.server) else {
            return;
        };
        let Ok(new) = checked.map(|found| found.is_some()) else {
            return;
        };
        if state.has_retired(&name, announce.incarnation) {
            return;
        }
        let renewal = self.renewal(now, name);
        let newest = (announce.incarnation, announce.sequence);
        if newest < renewal.newest && now.since(renewal.heard) <= ANNOUNCE_TIMEOUT {
            return;
        }
        renewal.newest = newest;
        renewal.heard = now;
        let announce = Announce { sequence: 0, ..announce };
        let waits = renewal.proposed.as_ref().is_some_and(|(proposed, at)| {
            *proposed == announce && now.since(*at) < PROPOSAL_TIMEOUT
        });
        if new && !waits {
            renewal.proposed = Some((announce.clone(), now));
            out.push(Effect::propose(command::Body::Announce(announce)));
        }
    }

    fn renewal(&mut self, now: Instant, name: Name) -> &mut Renewal {
        let fresh = Renewal { heard: now, proposed: None, newest: (0, 0), expired: None };
        self.servers.entry(name).or_insert(fresh)
    }

    /// Proposes to expire the servers whose last announcement is older than [`ANNOUNCE_TIMEOUT`].
    pub fn tick(&mut self, now: Instant, state: &State, out: &mut Vec<Effect>) {
        for (name, server) in state.servers.iter().filter(|(_, server)| !server.expired) {
            let renewal = self.renewal(now, name.clone());
            let waits = renewal.expired.is_some_and(|asked| now.since(asked) < PROPOSAL_TIMEOUT);
            if now.since(renewal.heard) > ANNOUNCE_TIMEOUT && !waits {
                renewal.expired = Some(now);
                let incarnation = server.incarnation;
                let expire = Expire { server: name.to_string(), incarnation, left: false };
                out.push(Effect::propose(command::Body::Expire(expire)));
            }
        }
        self.servers.retain(|name, renewal| {
            state.servers.contains_key(name) || now.since(renewal.heard) <= ANNOUNCE_TIMEOUT
        });
    }
}
