//! Callers of plain statements.
//!
//! Values and prepared statements are kept in the caller's session at the front and
//! are sent along with each statement that needs them. A begin is answered at once
//! and is sent to a server only with the first statement of its transaction.
//!
//! - `conn`: the connection of a caller.
//! - `caller`: the session of a caller, statement by statement.
//! - `buffer`: buffers an answer until it is complete.
//! - `finish`: the answer to a statement, and its effect on the session.
//! - `login`: the database and the team of a caller.
//! - `stop`: what a stop of the front ends.

mod buffer;
mod caller;
mod conn;
mod finish;
mod login;
mod stop;

use std::sync::Arc;

use ::plain::{Answer, Dialect, Problem, Request, Status};
use base::prelude::*;
use slog::debug;
use tokio::net::TcpStream;

use super::Front;
use super::conn::Disconnect;
use super::dispatch::expects_lease;
use caller::Caller;
use conn::Conn;
use login::Login;

/// Time limit for the first message of a caller and its answer.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest delay of the answer to a caller's first message while the entry waits
/// for its lease.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one connection until it ends.
pub(super) async fn serve(front: Arc<Front>, io: TcpStream, dialect: Arc<dyn Dialect>) {
    if let Err(error) = link::socket::tune(&io) {
        debug!(front.log, "could not set the options of a caller's socket"; "error" => %error);
    }
    let mut conn = Conn::new(io, dialect);
    let started = tokio::time::timeout(START_TIMEOUT, start(&front, &mut conn)).await;
    if let Ok(Ok(Some(login))) = started {
        conn = Caller::new(front, conn, login).serve().await;
    }
    conn.close().await;
}

/// Reads and answers the first message. Returns the login of the caller, or `None` if
/// the connection is to be closed.
async fn start(front: &Front, conn: &mut Conn) -> Result<Option<Login>, Report<Disconnect>> {
    let request = conn.next().await?;
    wait_for_lease(front).await;
    let Some(Request::Start { database, key }) = request else {
        conn.put(&Answer::Problem(Problem::Malformed));
        return Ok(None);
    };
    let found = front.view.read(|state| Login::new(&state.declarations, &database, &key));
    if front.phase.borrow().is_stopping() {
        // the session would be closed at once; another entry can serve the caller
        conn.put(&Answer::Problem(Problem::Busy));
        return Ok(None);
    }
    if !front.view.has_lease(front.clock.now()) {
        // without a lease nothing can be run, and the database or the key may be declared
        // in a newer state that this entry has not received
        conn.put(&Answer::Problem(Problem::Busy));
        return Ok(None);
    }
    match found {
        Ok(login) => {
            conn.put(&Answer::Ready(Status::Idle));
            Ok(Some(login))
        }
        Err(problem) => {
            conn.put(&Answer::Problem(problem));
            Ok(None)
        }
    }
}

/// Waits for the renewal of a lease that expired a moment ago.
async fn wait_for_lease(front: &Front) {
    let until = front.clock.now() + READY_TIMEOUT;
    loop {
        let now = front.clock.now();
        if front.view.has_lease(now) || now >= until || !expects_lease(front, now) {
            return;
        }
        front.view.wait_for_extension(until.since(now)).await;
    }
}
