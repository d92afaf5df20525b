//! HTTP client of the control members. Tries the members in turn until one of
//! them serves the request.

use std::net::SocketAddr;
use std::time::Duration;

use control::Overview;
use error_stack::{Report, ResultExt};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::failure::Failure;

/// Timeout of one request to one member.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a request to the leader when a follower has already answered.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request for an entry's page of counters.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Rounds over all members before a command fails.
const MAX_ROUNDS: usize = 4;

/// Pause between two rounds, unless a member asks for a longer one.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper limit for the pause that a member may ask for.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Request to change the declarations.
#[derive(Debug, Clone, Serialize)]
pub struct Change {
    /// Id of the change; members answer a repeated id with the first answer.
    #[serde(rename = "change")]
    pub id: String,
    /// Version that the change is based on.
    pub base: u64,
    /// Canonical text of the new declarations.
    pub content: String,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Accepted {
    /// Version of the declarations that the change created.
    pub version: u64,
    /// Log index at which the change was committed.
    pub index: u64,
}

/// The declarations in force.
#[derive(Debug, Clone, Deserialize)]
pub struct Current {
    /// Version of the declarations.
    pub version: u64,
    /// Canonical text of the declarations.
    pub content: String,
}

/// Request to change the members of the control quorum.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "action", rename_all = "lowercase")]
pub enum Membership {
    /// Adds a member.
    Add {
        /// Name of the new member.
        name: String,
        /// Address of the member's link port.
        link: SocketAddr,
        /// Address of the member's HTTP port.
        web: SocketAddr,
    },
    /// Removes a member.
    Remove {
        /// Name of the removed member.
        name: String,
    },
}

/// Request to drain an entry or to put it back into use.
#[derive(Debug, Clone, Serialize)]
pub struct Drain {
    /// Name of the entry.
    pub entry: String,
    /// Whether the entry drains; false puts the entry back into use.
    pub on: bool,
}

/// Request to inject a fault into a stand-in group.
#[derive(Debug, Clone, Serialize)]
pub struct Fault {
    /// Name of the group.
    pub group: String,
    /// Fault to inject, with its argument if the fault takes one.
    pub fault: String,
}

/// Body of an error answer.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: String,
    version: u64,
    retry_after_ms: u64,
}

/// Result of one request to one member.
enum Attempt<T> {
    /// The member served the request.
    Done(T),
    /// The request failed; no other member is tried.
    Failed(Report<Failure>),
    /// Another member, or this one after the given pause, may serve the request.
    Retry(Duration),
}

/// HTTP client of the control members at the given addresses.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    members: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// [`Failure::NoAddress`] if `members` is empty, or
    /// [`Failure::MalformedAnswer`] if the HTTP client could not be built.
    pub fn new(members: Vec<SocketAddr>) -> Result<Self, Report<Failure>> {
        if members.is_empty() {
            return Err(Report::new(Failure::NoAddress));
        }
        let built = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).no_proxy().build();
        Ok(Self { http: built.change_context(Failure::MalformedAnswer)?, members })
    }

    /// Changes the declarations. Members answer a repeated id with the first
    /// answer, so the request can be retried safely when an answer is lost.
    pub async fn submit(&self, change: &Change) -> Result<Accepted, Report<Failure>> {
        self.post("/v1/changes", change).await
    }

    /// Returns the declarations in force.
    pub async fn fetch_config(&self) -> Result<Current, Report<Failure>> {
        self.try_members(|http, base| http.get(format!("{base}/v1/config"))).await
    }

    /// Returns the status of the system, from the leader if it is reachable and
    /// from any other member otherwise. Only the leader knows roles, lag and the
    /// time at which a failover was noticed.
    pub async fn fetch_status(&self) -> Result<Overview, Report<Failure>> {
        let overview: Overview =
            self.try_members(|http, base| http.get(format!("{base}/v1/status"))).await?;
        if overview.leads {
            return Ok(overview);
        }
        let leader =
            overview.members.iter().find(|member| Some(&member.name) == overview.leader.as_ref());
        let Some(leader) = leader else {
            return Ok(overview);
        };
        let request = self.http.get(format!("http://{}/v1/status", leader.web));
        match send::<Overview>(request.timeout(LEADER_TIMEOUT)).await {
            Attempt::Done(leading) if leading.leads => Ok(leading),
            Attempt::Done(_) | Attempt::Failed(_) | Attempt::Retry(_) => Ok(overview),
        }
    }

    /// Returns the counters that an entry keeps for the objectives of services, or
    /// `None` if the request fails or times out.
    pub async fn fetch_page(&self, web: &str) -> Option<burn::Page> {
        let request = self.http.get(format!("http://{web}/v1/burn"));
        match send(request.timeout(PAGE_TIMEOUT)).await {
            Attempt::Done(page) => Some(page),
            Attempt::Failed(_) | Attempt::Retry(_) => None,
        }
    }

    /// Posts an idempotent request, which may be sent again when its answer is
    /// lost.
    pub async fn post_idempotent(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), Report<Failure>> {
        let _answer: serde_json::Value = self.post(path, body).await?;
        Ok(())
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Report<Failure>> {
        self.try_members(|http, base| http.post(format!("{base}{path}")).json(body)).await
    }

    async fn try_members<T: DeserializeOwned>(
        &self,
        request: impl Fn(&reqwest::Client, &str) -> reqwest::RequestBuilder,
    ) -> Result<T, Report<Failure>> {
        for round in 0..MAX_ROUNDS {
            let mut pause = RETRY_PAUSE;
            for member in &self.members {
                match send(request(&self.http, &format!("http://{member}"))).await {
                    Attempt::Done(answer) => return Ok(answer),
                    Attempt::Failed(report) => return Err(report),
                    Attempt::Retry(after) => pause = pause.max(after),
                }
            }
            if round + 1 < MAX_ROUNDS {
                tokio::time::sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
        Err(Report::new(Failure::Unreachable { tried: self.members.len() }))
    }
}

async fn send<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> Attempt<T> {
    let Ok(response) = request.send().await else {
        return Attempt::Retry(Duration::ZERO);
    };
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Attempt::Retry(Duration::ZERO);
    };
    if status.is_success() {
        let empty = body.is_empty();
        let read = serde_json::from_slice(if empty { b"null" } else { &body });
        return match read.change_context(Failure::MalformedAnswer) {
            Ok(answer) => Attempt::Done(answer),
            Err(report) => Attempt::Failed(report),
        };
    }
    let error_body: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    match status {
        StatusCode::CONFLICT => {
            Attempt::Failed(Report::new(Failure::Conflict { version: error_body.version }))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY => {
            Attempt::Retry(Duration::from_millis(error_body.retry_after_ms))
        }
        _ => {
            let error = if error_body.error.is_empty() {
                String::from_utf8_lossy(&body).trim().to_owned()
            } else {
                error_body.error
            };
            let text = if error.is_empty() { status.to_string() } else { error };
            Attempt::Failed(Report::new(Failure::Refused { text }))
        }
    }
}
