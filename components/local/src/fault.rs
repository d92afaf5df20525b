//! The stand-in groups, and the HTTP route that breaks them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use base::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::RwLock;

use crate::cluster::{Failure, Settings};
use crate::scenario;

/// The stand-in groups by name.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    groups: Arc<RwLock<BTreeMap<Name, standin::Group>>>,
}

/// A request to break a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The group.
    pub group: String,
    /// Text of the fault.
    pub fault: String,
}

/// Why a fault did not happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No such group.
    #[strum(serialize = "no such group")]
    UnknownGroup,
    /// No such fault.
    #[strum(serialize = "no such fault")]
    UnknownFault,
    /// The group can't break in this way now.
    #[strum(serialize = "the group has no such server or no primary now")]
    Impossible,
}

impl std::error::Error for Refusal {}

#[derive(Serialize)]
struct Answer {
    error: Option<Refusal>,
}

impl Groups {
    pub(crate) async fn start(
        &self,
        settings: &Settings,
        controls: &[SocketAddr],
    ) -> Result<(), Report<Failure>> {
        let scenario = settings.scenario;
        let zones = scenario.zones().iter().map(|zone| Name::new(zone));
        let zones = zones.collect::<Result<Vec<_>, _>>().change_context(Failure::Group)?;
        for (index, text) in scenario.groups().iter().enumerate() {
            let name = Name::new(text).change_context(Failure::Group)?;
            let group = standin::Group::start(standin::Settings {
                name: name.clone(),
                zones: zones.clone(),
                servers: scenario::SERVERS_PER_GROUP,
                slots: scenario.slots(),
                connections: scenario.connections(),
                lag: settings.lag,
                controls: controls.to_vec(),
                seed: settings.seed.wrapping_add(index as u64),
                log: settings.log.clone(),
                ..standin::Settings::new(name.clone())
            });
            let group = group.await.change_context(Failure::Group)?;
            self.groups.write().await.insert(name, group);
        }
        Ok(())
    }

    /// Breaks or heals a group.
    ///
    /// # Errors
    /// [`Refusal`].
    pub async fn inject(&self, group: &str, fault: standin::Fault) -> Result<(), Report<Refusal>> {
        let groups = self.groups.read().await;
        let group = groups.get(group).ok_or(Refusal::UnknownGroup)?;
        group.fault(fault).await.change_context(Refusal::Impossible)
    }

    /// Asks something of a group.
    pub async fn inspect<T>(
        &self,
        group: &str,
        ask: impl FnOnce(&standin::Group) -> T,
    ) -> Option<T> {
        self.groups.read().await.get(group).map(ask)
    }

    pub(crate) async fn stop(&self) {
        let groups = std::mem::take(&mut *self.groups.write().await);
        for group in groups.into_values() {
            group.stop().await;
        }
    }
}

/// `POST /v1/fault`.
pub fn routes(groups: Groups) -> Router {
    Router::new().route("/v1/fault", post(break_group)).with_state(groups)
}

async fn break_group(
    State(groups): State<Groups>,
    Json(request): Json<Request>,
) -> (StatusCode, Json<Answer>) {
    let refuse = |refusal| (StatusCode::BAD_REQUEST, Json(Answer { error: Some(refusal) }));
    let Ok(fault) = request.fault.parse::<standin::Fault>() else {
        return refuse(Refusal::UnknownFault);
    };
    match groups.inject(&request.group, fault).await {
        Ok(()) => (StatusCode::OK, Json(Answer { error: None })),
        Err(report) => refuse(*report.current_context()),
    }
}
