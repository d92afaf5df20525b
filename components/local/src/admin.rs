//! HTTP requests to control members and to health endpoints.

use std::net::SocketAddr;

use base::prelude::*;
use reqwest::{Client, StatusCode};
use serde_json::json;

/// A change of the declarations.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// Id of the change.
    pub id: &'a str,
    /// Version of the declarations that the change is based on.
    pub base: u64,
    /// Canonical text of the declarations.
    pub content: &'a str,
}

/// Submits a change to the control members in turn, with `pause` between attempts,
/// until one returns a final status: success, a conflict or a bad request. Returns
/// `None` if no member does within `limit`.
pub async fn submit(
    client: &Client,
    admins: &[SocketAddr],
    change: Change<'_>,
    pause: Duration,
    limit: Duration,
) -> Option<StatusCode> {
    let Change { id, base, content } = change;
    let body = json!({ "change": id, "base": base, "content": content });
    let submitted = async {
        for admin in admins.iter().cycle() {
            let url = format!("http://{admin}/v1/changes");
            if let Ok(answer) = client.post(url).json(&body).send().await {
                let status = answer.status();
                let is_final = matches!(status, StatusCode::CONFLICT | StatusCode::BAD_REQUEST);
                if status.is_success() || is_final {
                    return Some(status);
                }
            }
            tokio::time::sleep(pause).await;
        }
        None
    };
    tokio::time::timeout(limit, submitted).await.ok().flatten()
}

/// Whether a process reports that it is ready.
pub async fn is_ready(client: &Client, web: SocketAddr) -> bool {
    let answer = client.get(format!("http://{web}/ready")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
