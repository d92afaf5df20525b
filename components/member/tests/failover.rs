//! Members of one process on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::name::Name;
use member::{Addresses, Bound, Handle, Peer, Settings};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

fn settings(name: &str, data: &Path, at: Option<Addresses>) -> Settings {
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
    }
}

async fn bind(name: &str, data: &Path, at: Option<Addresses>) -> Bound {
    let start = Instant::now();
    loop {
        match member::bind(settings(name, data, at)).await {
            Ok(bound) => return bound,
            Err(report) if start.elapsed() > PATIENCE => panic!("{report:?}"),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

struct Trio {
    data: tempfile::TempDir,
    peers: Vec<Peer>,
    handles: Vec<Option<Handle>>,
    client: Client,
}

impl Trio {
    async fn start() -> Self {
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

    async fn restart(&mut self, place: usize) {
        let Peer { name, link, web } = self.peers[place].clone();
        let bound = bind(name.as_str(), self.data.path(), Some(Addresses { link, web })).await;
        let handle = bound.start(self.peers.clone(), axum::Router::new()).expect("a start");
        self.handles[place] = Some(handle);
    }

    async fn get(&self, place: usize, path: &str) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}{path}", self.peers[place].web);
        let answer = self.client.get(url).send().await.ok()?;
        Some((answer.status(), answer.json().await.ok()?))
    }

    async fn post(&self, place: usize, path: &str, body: &Value) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}{path}", self.peers[place].web);
        let answer = self.client.post(url).json(body).send().await.ok()?;
        Some((answer.status(), answer.json().await.ok()?))
    }

    /// Waits until a running member leads and says so itself.
    async fn leader(&self) -> usize {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
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
            tokio::time::sleep(PAUSE).await;
        }
        panic!("no leader");
    }

    /// Asks until the answer is final.
    async fn change(
        &self,
        place: usize,
        id: &str,
        base: u64,
        groups: &Value,
    ) -> (StatusCode, Value) {
        let content = json!({ "groups": groups, "services": {}, "selectors": {} }).to_string();
        let body = json!({ "change": id, "base": base, "content": content });
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            match self.post(place, "/v1/changes", &body).await {
                Some((status, answer)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    return (status, answer);
                }
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
        panic!("no final answer");
    }

    /// Asks until a read is confirmed.
    async fn version(&self, place: usize) -> u64 {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            match self.get(place, "/v1/config").await {
                Some((StatusCode::OK, config)) => return config["version"].as_u64().expect("one"),
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
        panic!("no confirmed read");
    }
}

fn peer(name: &str, bound: &Bound) -> Peer {
    let Addresses { link, web } = bound.addresses();
    Peer { name: Name::new(name).expect("a name"), link, web }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_an_accepted_change_when_the_leader_is_killed() {
    let mut trio = Trio::start().await;
    let leader = trio.leader().await;
    let follower = (leader + 1) % 3;
    let (status, answer) = trio.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(1)), "{answer}");

    trio.handles[leader].take().expect("runs").kill();
    assert_eq!(trio.version(follower).await, 1);
    let (status, answer) = trio.change(follower, "two", 0, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::CONFLICT, &json!(1)), "{answer}");
    let (status, again) = trio.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &again["version"]), (StatusCode::OK, &json!(1)), "{again}");
    let (status, answer) = trio.change(follower, "three", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");

    trio.restart(leader).await;
    assert_eq!(trio.version(leader).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hands_over_at_a_planned_stop() {
    let mut trio = Trio::start().await;
    let leader = trio.leader().await;
    let (status, _) = trio.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    trio.handles[leader].take().expect("runs").stop().await;
    let next = trio.leader().await;
    assert_ne!(next, leader);
    assert_eq!(trio.version(next).await, 1);
}
