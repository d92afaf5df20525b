//! What is asked of control members and of health ports over HTTP.

use std::net::SocketAddr;

use base::prelude::*;
use reqwest::{Client, StatusCode};
use serde_json::json;

/// A change of the declarations.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// Its id.
    pub id: &'a str,
    /// Version that it starts from.
    pub base: u64,
    /// Canonical text of the declarations.
    pub content: &'a str,
}

/// Puts a change to one member after the other until one gives a final answer:
/// that it is in force, a conflict, or that it is wrong. `None` when none did
/// within `limit`; the members are asked each `pause`.
pub async fn submit(
    client: &Client,
    admins: &[SocketAddr],
    change: Change<'_>,
    pause: Duration,
    limit: Duration,
) -> Option<StatusCode> {
    let Change { id, base, content } = change;
    let body = json!({ "change": id, "base": base, "content": content });
    let asked = async {
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
    tokio::time::timeout(limit, asked).await.ok().flatten()
}

/// Whether a process says that it takes work.
pub async fn is_ready(client: &Client, web: SocketAddr) -> bool {
    let answer = client.get(format!("http://{web}/ready")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
