//! Asks control members over HTTP: any of them, one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use control::Overview;
use error_stack::{Report, ResultExt};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::failure::Failure;

/// Longest time for one question to one member.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for the leader's answer where another member's is at hand.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for one entry's page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Rounds over all members before a command gives up.
const ROUNDS: usize = 4;

/// Pause between two rounds, unless a member names another.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest pause that a member may ask for.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// A change of the declarations.
#[derive(Debug, Clone, Serialize)]
pub struct Change {
    /// Its id.
    #[serde(rename = "change")]
    pub id: String,
    /// Version that it starts from.
    pub base: u64,
    /// Canonical text of the declarations.
    pub content: String,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Accepted {
    /// Version that it made.
    pub version: u64,
    /// Index at which it was committed.
    pub index: u64,
}

/// The declarations in force.
#[derive(Debug, Clone, Deserialize)]
pub struct Current {
    /// Their version.
    pub version: u64,
    /// Their canonical text.
    pub content: String,
}

/// A change of the members.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "action", rename_all = "lowercase")]
pub enum Membership {
    /// A new member.
    Add {
        /// Its name.
        name: String,
        /// Address of its links.
        link: SocketAddr,
        /// Address of its web port.
        web: SocketAddr,
    },
    /// A member that goes.
    Remove {
        /// Its name.
        name: String,
    },
}

/// An operator's wish for an entry.
#[derive(Debug, Clone, Serialize)]
pub struct Drain {
    /// Its name.
    pub entry: String,
    /// Whether it is to be drained.
    pub on: bool,
}

/// A fault in a stand-in group.
#[derive(Debug, Clone, Serialize)]
pub struct Fault {
    /// The group.
    pub group: String,
    /// The fault.
    pub fault: String,
}

/// Body of an answer that is no success.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Refusal {
    error: String,
    version: u64,
    retry_after_ms: u64,
}

/// Whether another member may still serve.
enum Trial<T> {
    Done(T),
    Over(Report<Failure>),
    Later(Duration),
}

/// Asks the members at some addresses.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    members: Vec<SocketAddr>,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    ///
    /// # Errors
    /// [`Failure::NoAddress`] without a member.
    pub fn new(members: Vec<SocketAddr>) -> Result<Self, Report<Failure>> {
        if members.is_empty() {
            return Err(Report::new(Failure::NoAddress));
        }
        let built = reqwest::Client::builder().timeout(TIMEOUT).no_proxy().build();
        Ok(Self { http: built.change_context(Failure::MalformedAnswer)?, members })
    }

    /// Changes the declarations. Asked again under the same id, members give
    /// the first answer, so a lost answer is asked for again.
    pub async fn submit(&self, change: &Change) -> Result<Accepted, Report<Failure>> {
        self.post("/v1/changes", change).await
    }

    /// The declarations in force.
    pub async fn fetch_config(&self) -> Result<Current, Report<Failure>> {
        self.ask(|http, base| http.get(format!("{base}/v1/config"))).await
    }

    /// What a member tells of the system: the leader, where it can be reached,
    /// since it alone sees roles, lag and when a failover was noticed.
    pub async fn fetch_status(&self) -> Result<Overview, Report<Failure>> {
        let told: Overview = self.ask(|http, base| http.get(format!("{base}/v1/status"))).await?;
        if told.leads {
            return Ok(told);
        }
        let leader = told.members.iter().find(|member| Some(&member.name) == told.leader.as_ref());
        let Some(leader) = leader else {
            return Ok(told);
        };
        let request = self.http.get(format!("http://{}/v1/status", leader.web));
        match once::<Overview>(request.timeout(LEADER_TIMEOUT)).await {
            Trial::Done(led) if led.leads => Ok(led),
            Trial::Done(_) | Trial::Over(_) | Trial::Later(_) => Ok(told),
        }
    }

    /// What an entry counted against objectives, if it tells in time.
    pub async fn fetch_page(&self, web: &str) -> Option<burn::Page> {
        let request = self.http.get(format!("http://{web}/v1/burn"));
        match once(request.timeout(PAGE_TIMEOUT)).await {
            Trial::Done(page) => Some(page),
            Trial::Over(_) | Trial::Later(_) => None,
        }
    }

    /// Posts a wish whose repetition changes nothing.
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
        self.ask(|http, base| http.post(format!("{base}{path}")).json(body)).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        request: impl Fn(&reqwest::Client, &str) -> reqwest::RequestBuilder,
    ) -> Result<T, Report<Failure>> {
        for round in 0..ROUNDS {
            let mut pause = PAUSE;
            for member in &self.members {
                match once(request(&self.http, &format!("http://{member}"))).await {
                    Trial::Done(answer) => return Ok(answer),
                    Trial::Over(report) => return Err(report),
                    Trial::Later(after) => pause = pause.max(after),
                }
            }
            if round + 1 < ROUNDS {
                tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
            }
        }
        Err(Report::new(Failure::Unreachable { tried: self.members.len() }))
    }
}

async fn once<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> Trial<T> {
    let Ok(response) = request.send().await else {
        return Trial::Later(Duration::ZERO);
    };
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Trial::Later(Duration::ZERO);
    };
    if status.is_success() {
        let empty = body.is_empty();
        let read = serde_json::from_slice(if empty { b"null" } else { &body });
        return match read.change_context(Failure::MalformedAnswer) {
            Ok(answer) => Trial::Done(answer),
            Err(report) => Trial::Over(report),
        };
    }
    let refusal: Refusal = serde_json::from_slice(&body).unwrap_or_default();
    match status {
        StatusCode::CONFLICT => {
            Trial::Over(Report::new(Failure::Conflict { version: refusal.version }))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY => {
            Trial::Later(Duration::from_millis(refusal.retry_after_ms))
        }
        _ => {
            let said = if refusal.error.is_empty() {
                String::from_utf8_lossy(&body).trim().to_owned()
            } else {
                refusal.error
            };
            let text = if said.is_empty() { status.to_string() } else { said };
            Trial::Over(Report::new(Failure::Refused { text }))
        }
    }
}
