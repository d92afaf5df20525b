//! HTTP interface of a member, with JSON bodies.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use base::prelude::*;
use config::Declarations;
use control::{Answer, Outcome};
use serde::{Deserialize, Serialize};
use wire::log::{self, command};
use wire::quorum::Refusal;

use crate::api::{Api, RequestError};
use crate::input::{Completion, Input, NoLeader};
use crate::link::Endpoint;
use crate::peers;

/// Interval at which backend servers renew their announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after which a client may retry a request that was not accepted.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// State shared by all request handlers.
#[derive(Clone, Debug)]
struct Shared {
    api: Api,
    endpoint: Endpoint,
}

/// Routes of the member.
pub(crate) fn routes(api: Api, endpoint: Endpoint) -> Router {
    Router::new()
        .route("/v1/announce", post(announce))
        .route("/v1/changes", post(change))
        .route("/v1/config", get(config))
        .route("/v1/status", get(status))
        .route("/v1/members", post(members))
        .route("/v1/drain", post(drain))
        .with_state(Shared { api, endpoint })
}

/// Failure of an HTTP request.
#[derive(Debug)]
enum Failure {
    /// A name or address of the announcement is malformed.
    InvalidAnnounce,
    /// The change has no id.
    MissingId,
    /// No member has this name.
    UnknownMember { name: Name },
    /// No member that holds the shared key answers at this address.
    Unreachable { link: SocketAddr },
    /// A member with another name answers at this address.
    NameMismatch { link: SocketAddr, name: String },
    /// The declarations are invalid.
    Violations(Vec<config::Violation>),
    /// The command was refused.
    Command(control::Refusal),
    /// The membership change was refused.
    Membership(Refusal),
    /// The base of the change is not the current version.
    Conflict { version: u64 },
    /// Another membership change is under way, or the leader has not committed an entry
    /// of its own term yet.
    Busy,
    /// No leader accepted the request.
    NoLeader,
    /// The outcome is unknown, since the leader was lost or did not answer in time.
    Unknown,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidAnnounce => f.write_str("a name or the address can't be read"),
            Self::MissingId => f.write_str("`change` must not be empty"),
            Self::UnknownMember { name } => write!(f, "{name} is no member"),
            Self::Unreachable { link } => write!(f, "no member answers at {link}"),
            Self::NameMismatch { link, name } => write!(f, "the member at {link} is {name}"),
            Self::Violations(violations) => {
                let violations: Vec<_> = violations.iter().map(ToString::to_string).collect();
                f.write_str(&violations.join("; "))
            }
            Self::Command(refusal) => write!(f, "the command has no effect: {refusal}"),
            Self::Membership(refusal) => write!(f, "the membership stays: {refusal}"),
            Self::Conflict { .. } => f.write_str("the change starts from another version"),
            Self::Busy => f.write_str("another change of membership is under way"),
            Self::NoLeader => f.write_str("no leader is known"),
            Self::Unknown => f.write_str("the leader was lost before it answered"),
        }
    }
}

impl std::error::Error for Failure {}

impl Failure {
    fn status(&self) -> StatusCode {
        match self {
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Busy | Self::NoLeader | Self::Unknown => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether the request certainly did not run; `None` for failures that are final
    /// answers.
    fn not_run(&self) -> Option<bool> {
        match self {
            Self::Busy | Self::NoLeader => Some(true),
            Self::Unknown => Some(false),
            _ => None,
        }
    }
}

/// JSON body of a failure.
#[derive(Debug, Serialize)]
struct Problem {
    error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    not_run: Option<bool>,
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let version = match self {
            Self::Conflict { version } => Some(version),
            _ => None,
        };
        let not_run = self.not_run();
        let retry_after_ms = not_run.map(|_| RETRY_AFTER.as_millis() as u64);
        let problem = Problem { error: self.to_string(), version, retry_after_ms, not_run };
        (self.status(), Json(problem)).into_response()
    }
}

impl From<NoLeader> for Failure {
    fn from(NoLeader: NoLeader) -> Self {
        Self::NoLeader
    }
}

impl From<RequestError> for Failure {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NoLeader => Self::NoLeader,
            RequestError::Unknown => Self::Unknown,
        }
    }
}

impl Shared {
    async fn propose(&self, body: command::Body) -> Result<(u64, Outcome), Failure> {
        match self.api.propose(body).await? {
            Completion::Applied { index, outcome } => Ok((index, outcome)),
            completion => Err(failure(&completion)),
        }
    }
}

fn failure(completion: &Completion) -> Failure {
    match completion {
        Completion::Dropped { not_run: true } => Failure::NoLeader,
        Completion::Refused(Refusal::Busy | Refusal::Early) => Failure::Busy,
        Completion::Refused(refusal) => Failure::Membership(*refusal),
        Completion::Dropped { not_run: false }
        | Completion::Applied { .. }
        | Completion::Changed { .. } => Failure::Unknown,
    }
}

#[derive(Debug, Deserialize)]
struct Announce {
    server: String,
    incarnation: u64,
    group: String,
    address: String,
    zone: String,
    #[serde(default)]
    labels: BTreeMap<String, String>,
    connections: u32,
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

impl From<Announce> for log::Announce {
    fn from(announce: Announce) -> Self {
        let label = |(key, value)| log::Label { key, value };
        Self {
            server: announce.server,
            incarnation: announce.incarnation,
            group: announce.group,
            address: announce.address,
            zone: announce.zone,
            labels: announce.labels.into_iter().map(label).collect(),
            connections: announce.connections,
            slots: announce.slots,
            leaving: announce.leaving,
            primary: false,
            sequence: 0,
        }
    }
}

#[derive(Debug, Serialize)]
struct Renew {
    renew_ms: u64,
}

async fn announce(
    State(shared): State<Shared>,
    Json(announce): Json<Announce>,
) -> Result<Json<Renew>, Failure> {
    let announce = log::Announce::from(announce);
    if !control::renewals::is_valid(&announce) {
        return Err(Failure::InvalidAnnounce);
    }
    shared.api.ask(|reply| Input::Announce { announce, reply }).await??;
    Ok(Json(Renew { renew_ms: ANNOUNCE_INTERVAL.as_millis() as u64 }))
}

#[derive(Debug, Deserialize)]
struct Change {
    #[serde(rename = "change")]
    id: String,
    base: u64,
    content: String,
}

#[derive(Debug, Serialize)]
struct Changed {
    version: u64,
    index: u64,
}

async fn change(
    State(shared): State<Shared>,
    Json(change): Json<Change>,
) -> Result<Json<Changed>, Failure> {
    let Change { id, base, content } = change;
    if id.is_empty() {
        return Err(Failure::MissingId);
    }
    let declared = Declarations::parse(&content).map_err(Failure::Violations)?;
    let config = shared.api.ask(|reply| Input::Config { reply }).await??;
    let patch = config.patch(base, &declared);
    let configure = log::Configure { change: id, base, content: String::new(), patch };
    let (_, outcome) = shared.propose(command::Body::Configure(configure)).await?;
    match outcome {
        Outcome::Answered(Answer::Accepted { version, index }) => {
            Ok(Json(Changed { version, index }))
        }
        Outcome::Answered(Answer::Conflict { version }) => Err(Failure::Conflict { version }),
        Outcome::Answered(Answer::Invalid(violations)) => Err(Failure::Violations(violations)),
        Outcome::Applied | Outcome::Unchanged | Outcome::Refused(_) => Err(Failure::Unknown),
    }
}

async fn config(State(shared): State<Shared>) -> Result<Response, Failure> {
    let config = shared.api.ask(|reply| Input::Config { reply }).await??;
    Ok(Json(config).into_response())
}

async fn status(State(shared): State<Shared>) -> Result<Response, Failure> {
    let status = shared.api.ask(|reply| Input::Status { reply }).await?;
    Ok(Json(status).into_response())
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase", tag = "action")]
enum Membership {
    Add { name: Name, link: SocketAddr, web: SocketAddr },
    Remove { name: Name },
}

#[derive(Debug, Serialize)]
struct Done {
    index: u64,
}

async fn members(
    State(shared): State<Shared>,
    Json(wanted): Json<Membership>,
) -> Result<Json<Done>, Failure> {
    let change = match wanted {
        Membership::Add { name, link, web } => add(&shared, &name, link, web).await?,
        Membership::Remove { name } => {
            let id = shared.api.ask(|reply| Input::Status { reply }).await?.id_of(name.as_str());
            quorum::Change::Remove(id.ok_or(Failure::UnknownMember { name })?)
        }
    };
    match shared.api.ask(|reply| Input::Change { change, reply }).await? {
        Completion::Changed { index } => Ok(Json(Done { index })),
        completion => Err(failure(&completion)),
    }
}

/// Asks the new member for its id, which no other member knows.
async fn add(
    shared: &Shared,
    name: &Name,
    link: SocketAddr,
    web: SocketAddr,
) -> Result<quorum::Change, Failure> {
    let exchanged = peers::exchange_hello(link, &shared.endpoint).await;
    let found = exchanged.ok().and_then(|(hello, _, _)| hello.member);
    let member = found.ok_or(Failure::Unreachable { link })?;
    if member.name != name.as_str() {
        return Err(Failure::NameMismatch { link, name: member.name });
    }
    let (link, web) = (link.to_string(), web.to_string());
    Ok(quorum::Change::Add(wire::quorum::Member {
        link,
        web,
        voter: false,
        beacon: String::new(),
        ..member
    }))
}

#[derive(Debug, Deserialize)]
struct Drain {
    entry: Name,
    on: bool,
}

async fn drain(
    State(shared): State<Shared>,
    Json(drain): Json<Drain>,
) -> Result<Json<Done>, Failure> {
    let drain = log::Drain { entry: drain.entry.to_string(), on: drain.on };
    let (index, outcome) = shared.propose(command::Body::Drain(drain)).await?;
    match outcome {
        Outcome::Refused(refusal) => Err(Failure::Command(refusal)),
        Outcome::Applied | Outcome::Unchanged | Outcome::Answered(_) => Ok(Json(Done { index })),
    }
}
