//! A server that refuses sessions because it has too many connections.

use base::mechanism::Mechanism;
use base::prelude::*;
use plain::ErrorKind;

use crate::conn::{Connection, Session};
use crate::event::Effect;
use crate::group::Group;

/// Time after which the full number of connections is tried again with a server that
/// refused a session because it has too many, if it closes none before.
const CAP_DURATION: Duration = Duration::from_secs(1);

/// Connections to a full server that a keeper leaves to control.
const CONTROL_CONNECTIONS: u32 = 1;

impl Group {
    /// Handles the refusal of a session. Where the server has too many connections, fewer
    /// are used until it closes one, or for [`CAP_DURATION`] if it closes none.
    ///
    /// Leases leave connections free for control. If a server is full all the same, a
    /// suspended keeper whose lease is over still holds some, and control needs room for its
    /// probes: an idle connection is closed.
    pub(crate) fn session_refused(
        &mut self,
        now: Instant,
        conn: Key<Connection>,
        error_kind: ErrorKind,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.conns.get(conn).map(|conn| conn.server) else {
            return;
        };
        let others = self.connection_count(key).saturating_sub(1);
        if error_kind != ErrorKind::Full || others == 0 {
            return;
        }
        let room = if self.uses(Mechanism::ControlRoom) { CONTROL_CONNECTIONS } else { 0 };
        let cap = others.saturating_sub(room).max(1);
        if let Some(server) = self.servers.get_mut(key) {
            server.cap = Some((cap, now + CAP_DURATION));
        }
        if let Some(conn) = self.conns.get_mut(conn) {
            conn.session = Session::Refused;
        }
        if others > cap {
            self.close_idle(key, out);
        }
    }
}
