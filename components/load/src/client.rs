//! A caller's connection, and the classification of the answers to requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

use base::prelude::*;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Longest wait for the answer to a request.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// SQLSTATE by which the proxy reports that a request was not run.
pub const SQLSTATE_NOT_RUN: &str = "TF001";

/// SQLSTATE by which the proxy reports that a request may have run.
pub const SQLSTATE_UNKNOWN: &str = "TF002";

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request succeeded; carries the values of each row.
    Done(Vec<Vec<String>>),
    /// The request had no effect; carries the SQLSTATE.
    NotRun(String),
    /// The request may have run.
    Unknown,
}

/// Name of the parameter that carries the session token.
pub const TOKEN_PARAMETER: &str = "trefoil.session";

type Token = Arc<Mutex<Option<String>>>;

/// An open connection to an entry or a server.
#[derive(Debug)]
pub struct Connection {
    client: Client,
    token: Token,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects to a group as a service, with a session token if there is one.
/// Returns `None` when the connection fails or takes longer than 3 seconds.
pub async fn connect(
    address: SocketAddr,
    service: &str,
    group: &str,
    token: Option<&str>,
) -> Option<Connection> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user(service).dbname(group);
    if let Some(token) = token {
        config.options(format!("-c {TOKEN_PARAMETER}={token}"));
    }
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, config.connect(NoTls));
    let (client, connection) = connecting.await.ok()?.ok()?;
    let token = Token::default();
    let driver = tokio::spawn(drive(connection, Arc::clone(&token)));
    Some(Connection { client, token, driver })
}

type Driver = tokio_postgres::Connection<tokio_postgres::Socket, NoTlsStream>;

async fn drive(mut connection: Driver, token: Token) {
    let step = std::future::poll_fn(|context| {
        loop {
            let polled = connection.poll_message(context);
            if let Some(reported) = connection.parameter(TOKEN_PARAMETER) {
                let mut token = token.lock().unwrap_or_else(PoisonError::into_inner);
                if token.as_deref() != Some(reported) {
                    *token = Some(reported.to_owned());
                }
            }
            match polled {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    });
    step.await;
}

impl Connection {
    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs one statement with the simple query protocol.
    pub async fn query(&self, sql: &str) -> Answer {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.client.simple_query(sql)).await;
        match answered {
            Ok(Ok(messages)) => Answer::Done(rows(&messages)),
            Ok(Err(error)) => classify(&error),
            Err(_elapsed) => Answer::Unknown,
        }
    }

    /// The session token that was reported last, even if the connection has been
    /// lost since.
    pub fn token(&self) -> Option<String> {
        self.token.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn rows(messages: &[SimpleQueryMessage]) -> Vec<Vec<String>> {
    let row = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => Some(
            (0..row.len()).map(|column| row.get(column).unwrap_or_default().to_owned()).collect(),
        ),
        _ => None,
    };
    messages.iter().filter_map(row).collect()
}

// An error with a SQLSTATE means that the statement was rolled back, except for
// the codes of an unknown outcome; without a SQLSTATE nothing is known.
fn classify(error: &tokio_postgres::Error) -> Answer {
    match error.code().map(tokio_postgres::error::SqlState::code) {
        None | Some(SQLSTATE_UNKNOWN | "57P01" | "57P02" | "08006" | "08007" | "40003") => {
            Answer::Unknown
        }
        Some(code) => Answer::NotRun(code.to_owned()),
    }
}
