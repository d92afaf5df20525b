//! Periodic announcements of a server to the control members, over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use serde::Serialize;

use crate::server::Server;

/// Time from the start of one announcement to the start of the next, unless the
/// first one takes longer.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of the HTTP request to one control member.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug, Serialize)]
struct Announcement {
    server: Name,
    incarnation: u64,
    group: Name,
    address: SocketAddr,
    zone: Name,
    labels: BTreeMap<Name, Name>,
    connections: usize,
    slots: usize,
    leaving: bool,
}

impl Announcement {
    fn new(server: &Server) -> Self {
        let settings = &server.settings;
        Self {
            server: server.name.clone(),
            incarnation: server.incarnation(),
            group: settings.name.clone(),
            address: server.address(),
            zone: server.zone.clone(),
            labels: settings.labels.clone(),
            connections: settings.connections,
            slots: settings.slots,
            leaving: server.is_leaving(),
        }
    }
}

/// Announces the server once per [`INTERVAL`] until the task is cancelled; returns
/// at once if no control members are configured.
pub async fn run(server: Arc<Server>) {
    let controls = &server.settings.controls;
    if controls.is_empty() {
        return;
    }
    let client = reqwest::Client::new();
    let seed = server.settings.seed ^ u64::from(server.address().port());
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    loop {
        let started = tokio::time::Instant::now();
        announce_once(&server, &client, controls, &mut rng).await;
        tokio::time::sleep_until(started + INTERVAL).await;
    }
}

// tries the control members from a random one onwards until one accepts, so that
// announcements are spread over the members and survive the loss of some
async fn announce_once(
    server: &Server,
    client: &reqwest::Client,
    controls: &[SocketAddr],
    rng: &mut impl Rng,
) {
    let first = rng.random_range(0..controls.len());
    for offset in 0..controls.len() {
        let control = controls[(first + offset) % controls.len()];
        let url = format!("http://{control}/v1/announce");
        let sent =
            client.post(url).timeout(REQUEST_TIMEOUT).json(&Announcement::new(server)).send().await;
        if sent.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
    }
}
