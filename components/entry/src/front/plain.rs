//! Callers of plain statements.
//!
//! Values and prepared statements are kept in the caller's session at the front and
//! are sent along with each statement that needs them. A begin is answered at once
//! and is sent to a server only with the first statement of its transaction.
//!
//! - `conn`: the connection of a caller.
//! - `caller`: the session of a caller, statement by statement.
//! - `buffer`: buffers an answer until it is complete.

mod buffer;
mod caller;
mod conn;

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
    if let Ok(Ok(Some(database))) = started {
        conn = Caller::new(front, conn, database).serve().await;
    }
    conn.close().await;
}

/// Reads and answers the first message. Returns the database that the caller named,
/// or `None` if the connection is to be closed.
async fn start(front: &Front, conn: &mut Conn) -> Result<Option<Name>, Report<Disconnect>> {
    let request = conn.next().await?;
    wait_for_lease(front).await;
    let known = match &request {
        Some(Request::Start { database }) => {
            let known = |state: &control::State| {
                state.declarations.databases.get_key_value(database.as_str()).map(|d| d.0.clone())
            };
            front.view.read(known)
        }
        Some(Request::Query(_) | Request::Terminate) | None => {
            conn.put(&Answer::Problem(Problem::Malformed));
            return Ok(None);
        }
    };
    if !front.view.has_lease(front.clock.now()) {
        // without a lease nothing can be run, and the database may be declared in a
        // newer state that this entry has not received
        conn.put(&Answer::Problem(Problem::Busy));
        return Ok(None);
    }
    let Some(database) = known else {
        conn.put(&Answer::Problem(Problem::Database));
        return Ok(None);
    };
    conn.put(&Answer::Ready(Status::Idle));
    Ok(Some(database))
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
