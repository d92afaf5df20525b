//! Callers of plain statements.
//!
//! Values and prepared statements stay with the caller's session here, and
//! travel with each statement that needs them. A begin is answered at once and
//! reaches a server only with the first statement of its transaction.
//!
//! - `conn`: a caller's connection.
//! - `caller`: its session, statement by statement.
//! - `whole`: an answer that is kept until it is over.

mod caller;
mod conn;
mod whole;

use std::sync::Arc;

use ::plain::{Answer, Ask, Dialect, Problem, Status};
use base::prelude::*;
use slog::debug;
use tokio::net::TcpStream;

use super::Front;
use super::conn::Gone;
use super::errand::expects_lease;
use caller::Caller;
use conn::Conn;

/// Longest wait for the first message of a caller.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait of a caller for the answer to its first message.
const READY_TIME: Duration = Duration::from_millis(500);

/// Serves one connection until it ends.
pub(super) async fn serve(front: Arc<Front>, io: TcpStream, dialect: Arc<dyn Dialect>) {
    if let Err(error) = link::socket::tune(&io) {
        debug!(front.log, "a caller's socket can't be set up"; "error" => %error);
    }
    let mut conn = Conn::new(io, dialect);
    let started = tokio::time::timeout(START_TIMEOUT, start(&front, &mut conn)).await;
    if let Ok(Ok(Some(database))) = started {
        conn = Caller::new(front, conn, database).serve().await;
    }
    conn.close().await;
}

/// Takes the first message; the database, if there is one of that name.
async fn start(front: &Front, conn: &mut Conn) -> Result<Option<Name>, Report<Gone>> {
    let ask = conn.next().await?;
    wait_for_lease(front).await;
    let known = match &ask {
        Some(Ask::Start { database }) => {
            let known = |state: &control::State| {
                state.declarations.databases.get_key_value(database.as_str()).map(|d| d.0.clone())
            };
            front.view.read(known)
        }
        Some(Ask::Query(_) | Ask::Terminate) | None => {
            conn.put(&Answer::Problem(Problem::Malformed));
            return Ok(None);
        }
    };
    if !front.view.has_lease(front.clock.now()) {
        // nothing could be run, and a database may be declared that this entry
        // has not heard of
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

/// Waits for a lease that ran out a moment ago.
async fn wait_for_lease(front: &Front) {
    let until = front.clock.now() + READY_TIME;
    loop {
        let now = front.clock.now();
        if front.view.has_lease(now) || now >= until || !expects_lease(front, now) {
            return;
        }
        front.view.wait_for_extension(until.since(now)).await;
    }
}
