//! A client's connection: start-up, and the loop over its messages.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::response::{SslResponse, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Reply, PgWireFrontendMessage as Message,
    ProtocolVersion, SslNegotiationMetaMessage,
};
use slog::debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::answer::{self, Severity};
use crate::failure::{Rejection, SqlState};
use crate::server::Server;

mod extended;
mod run;

pub use run::Session;

const READ_BYTES: usize = 16 << 10;

const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("is_superuser", "off"),
];

/// Serves a connection until the client ends it; when the server stops, the
/// connection is reset.
pub async fn serve(server: Arc<Server>, mut stream: TcpStream, token: CancellationToken) {
    drop(stream.set_nodelay(true));
    let mut data_token = None;
    let ended = {
        let mut connection = Connection::new(&mut stream);
        let handling = handle_connection(&server, &mut connection, &mut data_token);
        token.run_until_cancelled(handling).await
    };
    match ended {
        None => drop(stream.set_zero_linger()),
        Some(Ok(())) => {}
        Some(Err(error)) => debug!(server.log, "client connection failed"; "error" => %error),
    }
}

/// A client's connection with its read and write buffers.
#[derive(Debug)]
pub struct Connection<'a> {
    stream: &'a mut TcpStream,
    inbox: BytesMut,
    context: DecodeContext,
    /// Encoded messages that the next flush sends.
    pub outbox: BytesMut,
}

impl<'a> Connection<'a> {
    fn new(stream: &'a mut TcpStream) -> Self {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let inbox = BytesMut::with_capacity(READ_BYTES);
        Self { stream, inbox, context, outbox: BytesMut::new() }
    }

    async fn next(&mut self) -> std::io::Result<Option<Message>> {
        loop {
            let decoded = Message::decode(&mut self.inbox, &self.context);
            if let Some(message) = decoded.map_err(std::io::Error::other)? {
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.inbox).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        self.stream.write_all_buf(&mut self.outbox).await
    }
}

async fn handle_connection(
    server: &Arc<Server>,
    connection: &mut Connection<'_>,
    data_token: &mut Option<CancellationToken>,
) -> std::io::Result<()> {
    let Some(startup) = read_startup(server, connection).await? else {
        return Ok(());
    };
    let user = startup.parameters.get("user").map_or("", String::as_str);
    // probes are exempt from the connection limit and the connect time, and a rewind
    // does not end their sessions
    if user == backend::sql::USER {
        return run_session(server, connection, user).await;
    }
    let Some(_guard) = server.counters.acquire_connection(server.settings.connections) else {
        let rejection =
            Rejection::new(SqlState::TooManyConnections, "sorry, too many clients already");
        answer::put_error(&mut connection.outbox, Severity::Fatal, &rejection);
        return connection.flush().await;
    };
    let token = data_token.insert(server.data_token()).clone();
    tokio::time::sleep(server.settings.connect_time).await;
    let ended = token.run_until_cancelled(run_session(server, connection, user)).await;
    if let Some(ended) = ended {
        return ended;
    }
    let rejection = Rejection::new(SqlState::Shutdown, "the server was rewound");
    answer::put_error(&mut connection.outbox, Severity::Fatal, &rejection);
    connection.flush().await
}

// reads the start-up message; `None` if the client sends a cancel request or another
// message in its place, or closes the connection
async fn read_startup(
    server: &Server,
    connection: &mut Connection<'_>,
) -> std::io::Result<Option<Startup>> {
    loop {
        match connection.next().await? {
            Some(Message::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                connection.context.awaiting_frontend_ssl = false;
            }
            Some(Message::SslNegotiation(_)) => {
                answer::put(&mut connection.outbox, &Reply::SslResponse(SslResponse::Refuse));
                connection.flush().await?;
            }
            Some(Message::CancelRequest(cancel)) => {
                if let SecretKey::I32(secret) = cancel.secret_key {
                    server.cancel((cancel.pid, secret));
                }
                return Ok(None);
            }
            Some(Message::Startup(startup)) => {
                connection.context.awaiting_frontend_startup = false;
                return Ok(Some(startup));
            }
            Some(_) | None => return Ok(None),
        }
    }
}

async fn run_session(
    server: &Arc<Server>,
    connection: &mut Connection<'_>,
    user: &str,
) -> std::io::Result<()> {
    let (key, cancel) = server.register_session();
    let _registration = Registration { server, key };
    put_session_start(&mut connection.outbox, key);
    connection.flush().await?;
    let mut session = Session::new(server, cancel, user == backend::sql::USER);
    while let Some(message) = connection.next().await? {
        let keep_open = session.on(message, &mut connection.outbox).await;
        if session.is_flush_due() {
            connection.flush().await?;
        }
        if !keep_open {
            return Ok(());
        }
    }
    Ok(())
}

struct Registration<'a> {
    server: &'a Server,
    key: (i32, i32),
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.server.unregister_session(self.key);
    }
}

fn put_session_start(outbox: &mut BytesMut, (pid, secret): (i32, i32)) {
    answer::put(outbox, &Reply::Authentication(Authentication::Ok));
    for (name, value) in PARAMETERS {
        answer::put_parameter_status(outbox, name, value);
    }
    let key = BackendKeyData::new(pid, SecretKey::I32(secret));
    answer::put(outbox, &Reply::BackendKeyData(key));
    answer::put_ready_for_query(outbox, TransactionStatus::Idle);
}
