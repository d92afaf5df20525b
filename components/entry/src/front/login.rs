//! Startup and authentication of PostgreSQL callers.

use std::sync::Arc;

use base::prelude::*;
use bytes::{Buf, Bytes};
use pg::client::Message;
use pg::scan::Feature;
use pg::scram::{MECHANISM, Verifier};
use pg::setting::{self, Local};
use pg::startup::{self, Packet, Start};
use pg::{Code, Problem};
use pgwire::messages::startup::Authentication;
use session::Floors;
use tokio::net::TcpStream;

use super::caller::Caller;
use super::conn::{Conn, Disconnect};
use super::session::{Session, Transaction};
use super::{Front, admit};

/// Time limit for a login, from the accepted connection to the session.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Parameters of a startup message that are not settings.
const NON_SETTINGS: [&str; 4] = ["user", "database", "options", "replication"];

/// Logs a caller in. Returns `None` if the connection carried a cancel request, which
/// has been processed.
///
/// # Errors
/// The reason why the caller was disconnected.
pub async fn login(
    front: &Arc<Front>,
    stream: TcpStream,
) -> Result<Option<Caller>, Report<Disconnect>> {
    let caller = tokio::time::timeout(LOGIN_TIMEOUT, negotiate(front, stream)).await;
    caller.change_context(Disconnect::Timeout)?
}

async fn negotiate(
    front: &Arc<Front>,
    stream: TcpStream,
) -> Result<Option<Caller>, Report<Disconnect>> {
    stream.set_nodelay(true).change_context(Disconnect::Io)?;
    let mut conn = Conn::new(stream);
    let mut is_tls = false;
    loop {
        match next_packet(&mut conn).await? {
            Packet::Gss => conn.write(b"N").await?,
            Packet::Tls => match front.tls.as_ref().filter(|_| !is_tls) {
                None => conn.write(b"N").await?,
                Some(acceptor) => {
                    // bytes sent in plain text before the handshake may have been injected
                    if conn.input.has_remaining() {
                        return Err(Report::new(Disconnect::Protocol));
                    }
                    conn.write(b"S").await?;
                    let accepted = acceptor.accept(conn.into_io()).await;
                    conn = Conn::new(accepted.change_context(Disconnect::Io)?);
                    is_tls = true;
                }
            },
            Packet::Cancel(target) => {
                front.cancels.cancel(target).await;
                return Ok(None);
            }
            Packet::Start(start) => return open_session(front, conn, &start).await.map(Some),
        }
    }
}

async fn next_packet(conn: &mut Conn) -> Result<Packet, Report<Disconnect>> {
    loop {
        match startup::take(&mut conn.input) {
            Ok(Some(packet)) => return Ok(packet),
            Ok(None) => conn.fill().await?,
            Err(report) => {
                let message = report.current_context().to_string();
                conn.output.fatal(&Problem::new(Code::Protocol, message));
                conn.flush().await?;
                return Err(report.change_context(Disconnect::Protocol));
            }
        }
    }
}

async fn open_session(
    front: &Arc<Front>,
    mut conn: Conn,
    start: &Start,
) -> Result<Caller, Report<Disconnect>> {
    match admit_session(front, &mut conn, start).await {
        Ok(session) => {
            let mut caller = Caller::new(Arc::clone(front), conn, session);
            write_startup_answer(&mut caller, start);
            caller.conn.flush().await?;
            Ok(caller)
        }
        Err(report) => {
            if let Some(problem) = report.downcast_ref::<Problem>() {
                conn.output.fatal(problem);
                conn.close().await;
            }
            Err(report)
        }
    }
}

fn refuse(problem: Problem) -> Report<Disconnect> {
    Report::new(problem).change_context(Disconnect::Refused)
}

async fn admit_session(
    front: &Arc<Front>,
    conn: &mut Conn,
    start: &Start,
) -> Result<Session, Report<Disconnect>> {
    if start.minor > 0 || start.unknown().next().is_some() {
        conn.output.negotiate(start.unknown().map(str::to_owned).collect());
    }
    let Some(user) = start.get("user") else {
        return Err(refuse(Problem::new(Code::Login, "no user is given")));
    };
    if start.get("replication").is_some_and(|value| !["false", "off", "0"].contains(&value)) {
        return Err(refuse(Feature::Replication.into()));
    }
    authenticate(front, conn, user).await?;
    if !front.view.has_lease(front.clock.now()) {
        let message = "this entry has lost touch with control";
        return Err(refuse(Problem::new(Code::Unready, message)));
    }
    let database = start.get("database").unwrap_or(user);
    front.view.read(|state| admit::check_access(state, user, database)).map_err(refuse)?;
    let name = |text: &str| Name::new(text).change_context(Disconnect::Refused);
    let mut session = Session {
        service: name(user)?,
        group: name(database)?,
        application: String::new(),
        floors: Floors::new(),
        prepared: pg::Prepared::new(),
        transaction: Transaction::None,
        number: front.next_session_number(),
        cycles: 0,
        cancel: front.cancels.add(),
    };
    apply_settings(front, &mut session, start).map_err(refuse)?;
    Ok(session)
}

/// Applies the settings in a startup message to a session.
fn apply_settings(front: &Front, session: &mut Session, start: &Start) -> Result<(), Problem> {
    let parameters = start.parameters.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    let is_setting = |name: &str| !NON_SETTINGS.contains(&name) && !name.starts_with("_pq_.");
    for (name, value) in parameters.filter(|(name, _)| is_setting(name)).chain(start.options()) {
        let local = setting::assign(name, Some(value)).map_err(|feature| {
            let problem = Problem::from(feature);
            Problem::new(problem.code, format!("{name}: {}", problem.message))
        })?;
        match local {
            Local::SetSession(token) => {
                let floors = front.keys.verify(&session.service, &token).map_err(|report| {
                    Problem::new(Code::Token, report.current_context().to_string())
                })?;
                session.floors.merge(&floors);
            }
            Local::SetApplication(name) => session.application = name,
            _ => {}
        }
    }
    Ok(())
}

fn write_startup_answer(caller: &mut Caller, start: &Start) {
    let output = &mut caller.conn.output;
    output.authentication(&Authentication::Ok);
    for (name, value) in setting::REPORTED {
        output.parameter(name, value);
    }
    output.parameter("session_authorization", start.get("user").unwrap_or_default());
    output.parameter(setting::APPLICATION, &caller.session.application);
    output.cancel_key(caller.session.cancel.target);
    caller.report_token();
    caller.write_ready();
}

async fn authenticate(
    front: &Front,
    conn: &mut Conn,
    user: &str,
) -> Result<(), Report<Disconnect>> {
    let Some(users) = &front.users else {
        return Ok(());
    };
    let wrong_password = || {
        let message = format!("password authentication failed for user \"{user}\"");
        refuse(Problem::new(Code::Password, message))
    };
    // an unknown user goes through the same exchange, so that a client can't find out
    // which users exist
    let decoy = || Verifier::new(&rand::random::<u64>().to_string(), &front.decoy_salt(user));
    let verifier = users.get(user).cloned().unwrap_or_else(decoy);
    conn.output.authentication(&Authentication::SASL(vec![MECHANISM.to_owned()]));
    conn.flush().await?;
    let initial = next_response(conn).await?;
    let first = first_message(&initial).ok_or_else(wrong_password)?;
    let (answer, exchange) = verifier.start(&first).map_err(|_ignored| wrong_password())?;
    conn.output.authentication(&Authentication::SASLContinue(answer.into()));
    conn.flush().await?;
    let last = next_response(conn).await?;
    let answer = exchange.finish(&last).map_err(|_ignored| wrong_password())?;
    conn.output.authentication(&Authentication::SASLFinal(answer.into()));
    Ok(())
}

async fn next_response(conn: &mut Conn) -> Result<Bytes, Report<Disconnect>> {
    let frame = conn.next().await?;
    match Message::decode(&frame).change_context(Disconnect::Protocol)? {
        Message::Password(bytes) if bytes.len() <= startup::MAX_BYTES => Ok(bytes),
        _ => Err(refuse(Problem::new(Code::Protocol, "a password is due"))),
    }
}

/// Extracts the client-first-message from a `SASLInitialResponse`, which consists of
/// mechanism, length and message.
fn first_message(initial: &Bytes) -> Option<Bytes> {
    let end = initial.iter().position(|byte| *byte == 0)?;
    let mut rest = initial.slice(end + 1..);
    if &initial[..end] != MECHANISM.as_bytes() || rest.len() < 4 {
        return None;
    }
    let length = usize::try_from(rest.get_i32()).ok()?;
    (rest.len() == length).then_some(rest)
}
