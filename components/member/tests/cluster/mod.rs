//! A cluster of three members in one process, on loopback.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::name::Name;
use member::{Addresses, Bound, Handle, Peer, Settings};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

/// Longest wait for a condition in a test.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub fn settings(name: &str, data: &Path, at: Option<Addresses>) -> Settings {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    Settings {
        name: Name::new(name).expect("a name"),
        data: data.join(name),
        link: at.map_or(any, |at| at.link),
        web: at.map_or(any, |at| at.web),
        key: link::Key::new(b"a key for the tests only").expect("a long key"),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        clock: Clock::start(),
        seed: 7,
        beacons: true,
        adapter: None,
        without: base::mechanism::Without::default(),
    }
}

pub async fn bind(name: &str, data: &Path, at: Option<Addresses>) -> Bound {
    let start = Instant::now();
    loop {
        match member::bind(settings(name, data, at)).await {
            Ok(bound) => return bound,
            Err(report) if start.elapsed() > TIMEOUT => panic!("{report:?}"),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Three members; the handle of a stopped member is `None`.
pub struct Cluster {
    pub data: tempfile::TempDir,
    pub peers: Vec<Peer>,
    pub handles: Vec<Option<Handle>>,
    pub client: Client,
}

impl Cluster {
    pub async fn start() -> Self {
        let data = tempfile::tempdir().expect("a folder");
        let mut bounds = Vec::new();
        for name in ["a", "b", "c"] {
            bounds.push(bind(name, data.path(), None).await);
        }
        let names = ["a", "b", "c"].iter().zip(&bounds);
        let peers: Vec<_> = names.map(|(name, bound)| peer(name, bound)).collect();
        let start = |bound: Bound| bound.start(peers.clone(), axum::Router::new());
        let handles = bounds.into_iter().map(|bound| Some(start(bound).expect("a start")));
        Self { data, handles: handles.collect(), peers, client: Client::new() }
    }

    /// Restarts a member at its previous addresses with its data folder.
    pub async fn restart(&mut self, place: usize) {
        let Peer { name, link, web } = self.peers[place].clone();
        let bound = bind(name.as_str(), self.data.path(), Some(Addresses { link, web })).await;
        let handle = bound.start(self.peers.clone(), axum::Router::new()).expect("a start");
        self.handles[place] = Some(handle);
    }

    pub async fn get(&self, place: usize, path: &str) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}{path}", self.peers[place].web);
        let answer = self.client.get(url).send().await.ok()?;
        Some((answer.status(), answer.json().await.ok()?))
    }

    pub async fn post(
        &self,
        place: usize,
        path: &str,
        body: &Value,
    ) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}{path}", self.peers[place].web);
        let answer = self.client.post(url).json(body).send().await.ok()?;
        Some((answer.status(), answer.json().await.ok()?))
    }

    /// Waits until a running member reports that it leads, and returns its index.
    pub async fn leader(&self) -> usize {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            for place in 0..self.peers.len() {
                let status = if self.handles[place].is_some() {
                    self.get(place, "/v1/status").await
                } else {
                    None
                };
                if status.is_some_and(|(_, status)| status["leads"] == true) {
                    return place;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no leader");
    }

    /// Posts a change, and retries until the answer is final.
    pub async fn change(
        &self,
        place: usize,
        id: &str,
        base: u64,
        groups: &Value,
    ) -> (StatusCode, Value) {
        let content = json!({ "groups": groups, "services": {}, "selectors": {} }).to_string();
        let body = json!({ "change": id, "base": base, "content": content });
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            match self.post(place, "/v1/changes", &body).await {
                Some((status, answer)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    return (status, answer);
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        panic!("no final answer");
    }

    /// Requests the configuration until a read is confirmed, and returns its version.
    pub async fn version(&self, place: usize) -> u64 {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            match self.get(place, "/v1/config").await {
                Some((StatusCode::OK, config)) => {
                    return config["version"].as_u64().expect("a version");
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        panic!("no confirmed read");
    }
}

pub fn peer(name: &str, bound: &Bound) -> Peer {
    let Addresses { link, web } = bound.addresses();
    Peer { name: Name::new(name).expect("a name"), link, web }
}
