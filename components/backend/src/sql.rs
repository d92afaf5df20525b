//! A [`Probe`](crate::Probe) that calls SQL functions over the PostgreSQL protocol.
//!
//! Each function returns one row with the columns [`COLUMNS`], as text.

use std::net::SocketAddr;

use base::prelude::*;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

use crate::probe::Failure;

/// Columns of a status row, in order.
pub const COLUMNS: [&str; 10] = [
    "server",
    "incarnation",
    "term",
    "log_term",
    "received",
    "applied",
    "role",
    "silence_ms",
    "history",
    "version",
];

/// User and database name of probes; servers reserve connections for this user.
pub const USER: &str = "trefoil_probe";

/// Time limit for connecting and for each request, after which a server counts as
/// silent. For a status request, the time that the server may wait for a change
/// before it answers is added.
pub const TIMEOUT: Duration = Duration::from_millis(300);

/// A probe over one PostgreSQL connection.
pub struct Probe {
    client: Client,
    driver: tokio::task::JoinHandle<()>,
    timeout: Duration,
}

impl std::fmt::Debug for Probe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Probe").field("timeout", &self.timeout).finish_non_exhaustive()
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Probe {
    /// Connects to a server. `timeout` limits the time for connecting and the time for
    /// each request; a status request gets its wait for a change in addition.
    ///
    /// # Errors
    /// [`Failure::Refused`] when nothing listens, [`Failure::Timeout`], or
    /// [`Failure::Broken`].
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, Report<Failure>> {
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user(USER).dbname(USER).application_name("trefoillink");
        let connected = tokio::time::timeout(timeout, config.connect(NoTls)).await;
        let (client, connection) = connected
            .change_context(Failure::Timeout)?
            .map_err(|error| Report::new(classify(&error)).attach(error.to_string()))?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { client, driver, timeout })
    }

    async fn query(&self, query: String, wait: Duration) -> Result<Status, Report<Failure>> {
        let answer = self.client.simple_query(&query);
        let rows = tokio::time::timeout(wait + self.timeout, answer)
            .await
            .change_context(Failure::Timeout)?
            .map_err(|error| Report::new(classify(&error)).attach(error.to_string()))?;
        let row = rows.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        parse_status(row.ok_or(Failure::Malformed)?)
    }
}

fn classify(error: &tokio_postgres::Error) -> Failure {
    let source = std::error::Error::source(error);
    let io = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    match io.map(std::io::Error::kind) {
        Some(std::io::ErrorKind::ConnectionRefused) => Failure::Refused,
        _ if error.as_db_error().is_some() => Failure::Rejected,
        _ => Failure::Broken,
    }
}

fn parse_status(row: &SimpleQueryRow) -> Result<Status, Report<Failure>> {
    let number = |column: &str| -> Result<u64, Report<Failure>> {
        column_text(row, column)?.parse().change_context(Failure::Malformed)
    };
    Ok(Status {
        server: Name::new(column_text(row, "server")?).change_context(Failure::Malformed)?,
        incarnation: number("incarnation")?,
        term: Term(number("term")?),
        log_term: Term(number("log_term")?),
        received: Position(number("received")?),
        applied: Position(number("applied")?),
        role: column_text(row, "role")?.parse().change_context(Failure::Malformed)?,
        silence: Duration::from_millis(number("silence_ms")?),
        history: column_text(row, "history")?
            .parse::<History>()
            .map_err(|report| report.change_context(Failure::Malformed))?,
        version: number("version")?,
    })
}

fn column_text<'a>(row: &'a SimpleQueryRow, column: &str) -> Result<&'a str, Report<Failure>> {
    let value = row.try_get(column).change_context(Failure::Malformed)?;
    value.ok_or_else(|| Report::new(Failure::Malformed))
}

impl crate::Probe for Probe {
    async fn status(&mut self, after: u64, wait: Duration) -> Result<Status, Report<Failure>> {
        let query = format!("SELECT * FROM trefoil_status({after}, {})", wait.as_millis());
        self.query(query, wait).await
    }

    async fn fence(&mut self, term: Term) -> Result<Status, Report<Failure>> {
        self.query(format!("SELECT * FROM trefoil_fence({})", term.0), Duration::ZERO).await
    }

    async fn promote(&mut self, term: Term) -> Result<Status, Report<Failure>> {
        self.query(format!("SELECT * FROM trefoil_promote({})", term.0), Duration::ZERO).await
    }

    async fn follow(&mut self, term: Term, primary: SocketAddr) -> Result<Status, Report<Failure>> {
        let query = format!("SELECT * FROM trefoil_follow({}, '{primary}')", term.0);
        self.query(query, Duration::ZERO).await
    }
}
