//! The stand-in groups, and the HTTP route that injects faults into them.

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

/// A request to inject a fault into a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Name of the group.
    pub group: String,
    /// Fault in its text form.
    pub fault: String,
}

/// Why a fault was not injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No group has the given name.
    #[strum(serialize = "no such group")]
    UnknownGroup,
    /// The text of the fault is not a known fault.
    #[strum(serialize = "no such fault")]
    UnknownFault,
    /// The group has no such server or no primary at present, or one of its servers
    /// could not be restarted.
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

    /// Injects a fault into a group, or removes all faults of the group.
    ///
    /// # Errors
    /// [`Refusal::UnknownGroup`] or [`Refusal::Impossible`].
    pub async fn inject(&self, group: &str, fault: standin::Fault) -> Result<(), Report<Refusal>> {
        let groups = self.groups.read().await;
        let group = groups.get(group).ok_or(Refusal::UnknownGroup)?;
        group.inject(fault).await.change_context(Refusal::Impossible)
    }

    /// Applies a function to a group; `None` if there is no such group.
    pub async fn inspect<T>(
        &self,
        group: &str,
        inspect: impl FnOnce(&standin::Group) -> T,
    ) -> Option<T> {
        self.groups.read().await.get(group).map(inspect)
    }

    pub(crate) async fn stop(&self) {
        let groups = std::mem::take(&mut *self.groups.write().await);
        for group in groups.into_values() {
            group.stop().await;
        }
    }
}

/// The router with the route `POST /v1/fault`.
pub fn routes(groups: Groups) -> Router {
    Router::new().route("/v1/fault", post(inject_fault)).with_state(groups)
}

async fn inject_fault(
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
