//! Announcements of servers that are leaving, until they are in the log.
//!
//! A server that leaves counts on the acknowledgement: it ends some time later. So its
//! announcement is acknowledged only once this member has applied it. One that doesn't take
//! effect in time is refused, and the server announces itself to another member.

use base::prelude::*;
use control::State;
use tokio::sync::oneshot;
use wire::log::Announce;

use crate::input::NoLeader;

/// Time within which an announcement must take effect. A server waits a little longer for
/// its acknowledgement.
const TIMEOUT: Duration = Duration::from_millis(800);

/// An announcement that is not acknowledged yet.
#[derive(Debug)]
struct Leave {
    server: Name,
    received: Instant,
    reply: oneshot::Sender<Result<(), NoLeader>>,
}

/// Announcements that are not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct Leaves(Vec<Leave>);

/// Whether a server is known, and gets new work.
fn is_used(state: &State, server: &Name) -> bool {
    state.servers.get(server).is_some_and(|server| !server.leaving)
}

impl Leaves {
    /// Whether an announcement is to be acknowledged only once it has taken effect.
    pub(crate) fn concerns(state: &State, announce: &Announce) -> bool {
        let server = Name::new(&announce.server);
        announce.leaving && server.is_ok_and(|server| is_used(state, &server))
    }

    /// Adds an announcement.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        announce: &Announce,
        reply: oneshot::Sender<Result<(), NoLeader>>,
    ) {
        match Name::new(&announce.server) {
            Ok(server) => self.0.push(Leave { server, received: now, reply }),
            Err(_invalid) => drop(reply.send(Err(NoLeader))),
        }
    }

    /// Answers the announcements that have taken effect or have waited for too long.
    pub(crate) fn answer(&mut self, now: Instant, state: &State) {
        let ended = |leave: &mut Leave| {
            let is_late = now.since(leave.received) >= TIMEOUT;
            is_late || !is_used(state, &leave.server)
        };
        for leave in self.0.extract_if(.., ended) {
            let answer = if is_used(state, &leave.server) { Err(NoLeader) } else { Ok(()) };
            drop(leave.reply.send(answer));
        }
    }
}
