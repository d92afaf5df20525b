//! Fake keepers that run requests on a model of a backend connection, and a front
//! that uses them.
#![allow(dead_code, reason = "each test uses only some of the items")]

pub mod raw;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use config::model::{Class, Group, Kind, Limits, Selector, Service};
use control::State;
use entry::{View, front};
use link::{Key, Peer, Purpose, Reader, Writer};
use pg::answer::Status;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::Message as _;
use wire::data::{Answer, Ask, Closing, End, Outcome, Part, Pong, Reason, Run, answer, ask};
use wire::log::Lease;

use crate::server::Server;

/// Failure that a keeper injects into the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Reports that the request was not run.
    NotRun(Reason),
    /// Reports that the outcome is unknown.
    Unknown(Reason),
    /// Announces that the keeper is stopping, and runs the request.
    Closing,
    /// Closes the link without running the request.
    Break,
    /// Runs the request and closes the link without an answer.
    RunAndBreak,
    /// Sends a part with a sequence number that was already used.
    Repeat,
    /// Stops processing this and all later messages of the link, pings included.
    Freeze,
    /// Runs the request after a delay.
    Late(Duration),
    /// Answers with rows of at least this many bytes.
    Large(usize),
}

/// State that keepers share: the messages they received, and the faults to inject.
#[derive(Debug, Default)]
pub struct Shared {
    /// Faults to inject into the next requests, in order.
    pub faults: Mutex<VecDeque<Fault>>,
    /// Messages received so far, without pings.
    pub asks: Mutex<Vec<ask::Body>>,
    /// Backend connection without a transaction.
    server: Mutex<Server>,
    /// Backend connections with an open transaction, by session number.
    pub pinned: Mutex<HashMap<u64, Server>>,
    /// How often each payload was run.
    pub run_counts: Mutex<HashMap<bytes::Bytes, usize>>,
    /// Position of the last mark that was given out.
    pub position: Mutex<u64>,
    /// Whether the requests are plain statements, each of which succeeds.
    pub plain: AtomicBool,
}

impl Shared {
    pub fn inject(&self, fault: Fault) {
        self.faults.lock().unwrap().push_back(fault);
    }

    fn run(&self, run: &Run) -> (bytes::Bytes, Status) {
        let mut pinned = self.pinned.lock().unwrap();
        let mut idle = self.server.lock().unwrap();
        assert_eq!(run.in_transaction, pinned.contains_key(&run.caller));
        let mut server = pinned.remove(&run.caller).unwrap_or_else(|| std::mem::take(&mut idle));
        *self.run_counts.lock().unwrap().entry(run.payload.clone()).or_default() += 1;
        let answer = server.run(run.payload.clone());
        let status = server.status;
        if status == Status::Idle {
            *idle = server;
        } else {
            pinned.insert(run.caller, server);
        }
        (answer, status)
    }

    pub fn runs(&self) -> Vec<Run> {
        let asks = self.asks.lock().unwrap();
        let run = |body: &ask::Body| match body {
            ask::Body::Run(run) => Some(run.clone()),
            _ => None,
        };
        asks.iter().filter_map(run).collect()
    }
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn key() -> Key {
    Key::new(b"a key of enough bytes").unwrap()
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Starts a keeper and returns its address.
pub async fn keeper(own: &str, shared: Arc<Shared>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let own = Peer::new(own, 1, Purpose::Data);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (own, shared) = (own.clone(), Arc::clone(&shared));
            tokio::spawn(async move {
                if let Ok((_, reader, writer)) = link::accept(stream, &own, &key()).await {
                    serve(reader, writer, shared).await;
                }
            });
        }
    });
    address
}

async fn serve(mut reader: Reader, mut writer: Writer, shared: Arc<Shared>) {
    let (answers, mut queue) = mpsc::unbounded_channel::<Option<Answer>>();
    tokio::spawn(async move {
        while let Some(Some(answer)) = queue.recv().await {
            writer.send(&answer).await.unwrap();
        }
    });
    while let Ok(Some(Ask { body: Some(body) })) = reader.next::<Ask>().await {
        if let ask::Body::Ping(_) = body {
            drop(answers.send(Some(Answer { body: Some(answer::Body::Pong(Pong {})) })));
            continue;
        }
        shared.asks.lock().unwrap().push(body.clone());
        match body {
            ask::Body::Run(run) => {
                let fault = shared.faults.lock().unwrap().pop_front();
                if fault == Some(Fault::Freeze) {
                    std::future::pending::<()>().await;
                }
                if fault == Some(Fault::RunAndBreak) {
                    drop(shared.run(&run));
                }
                if matches!(fault, Some(Fault::Break | Fault::RunAndBreak)) {
                    drop(answers.send(None));
                    return;
                }
                tokio::spawn(answer(run, fault, Arc::clone(&shared), answers.clone()));
            }
            ask::Body::Leave(leave) => {
                drop(shared.pinned.lock().unwrap().remove(&leave.caller));
            }
            _ => {}
        }
    }
}

async fn answer(
    run: Run,
    fault: Option<Fault>,
    shared: Arc<Shared>,
    answers: mpsc::UnboundedSender<Option<Answer>>,
) {
    let send = |body| drop(answers.send(Some(Answer { body: Some(body) })));
    let part = |sequence, payload| Part { request: run.request, sequence, payload };
    let mut end = End { request: run.request, status: u32::from(b'I'), ..End::default() };
    match fault {
        Some(Fault::NotRun(reason)) => {
            end.outcome = Outcome::NotRun as i32;
            end.reason = reason as i32;
            end.retry_after_ms = 70;
            return send(answer::Body::End(end));
        }
        Some(Fault::Unknown(reason)) => {
            end.outcome = Outcome::Unknown as i32;
            end.reason = reason as i32;
            return send(answer::Body::End(end));
        }
        Some(Fault::Late(wait)) => tokio::time::sleep(wait).await,
        Some(Fault::Closing) => send(answer::Body::Closing(Closing {})),
        _ => {}
    }
    if shared.plain.load(Ordering::Relaxed) {
        let reply = wire::plain::Reply {
            complete: Some(bytes::Bytes::from_static(b"done")),
            ..wire::plain::Reply::default()
        };
        send(answer::Body::Part(part(0, reply.encode_to_vec().into())));
        let task = wire::plain::Task::decode(run.payload.clone()).unwrap();
        let open = task.begin != 0 || (run.in_transaction && !run.commits);
        end.parts = 1;
        end.outcome = Outcome::Done as i32;
        end.status = u32::from(if open { b'T' } else { b'I' });
        return send(answer::Body::End(end));
    }
    let (mut payload, status) = shared.run(&run);
    if let Some(Fault::Large(bytes)) = fault {
        let mut out = pg::answer::Writer::new();
        out.column(Some("text"));
        while out.len() < bytes {
            out.row(&"x".repeat(1_000));
        }
        out.complete("SELECT");
        payload = out.take();
    }
    let mut sequence = 0;
    while !payload.is_empty() {
        let mut chunk = bytes::BytesMut::new();
        while let Some(frame) = pg::frame::next(&mut payload).unwrap() {
            chunk.extend_from_slice(&frame.bytes);
            if chunk.len() > 32 << 10 {
                break;
            }
        }
        send(answer::Body::Part(part(sequence, chunk.freeze())));
        sequence += 1;
    }
    if fault == Some(Fault::Repeat) {
        send(answer::Body::Part(part(0, bytes::Bytes::new())));
    }
    let mut position = shared.position.lock().unwrap();
    *position += 1;
    end.parts = sequence;
    end.outcome = Outcome::Done as i32;
    end.status = u32::from(match status {
        Status::Idle => b'I',
        Status::Open => b'T',
        Status::Failed => b'E',
    });
    end.mark = Some(Mark::new(1, *position).into());
    send(answer::Body::End(end));
}

/// A front with its address, the state of its keepers and its view.
pub struct Bench {
    pub front: front::Handle,
    pub address: SocketAddr,
    pub shared: Arc<Shared>,
    pub view: View,
}

fn state(keepers: &[(&str, SocketAddr)]) -> State {
    let kind = |class, statements: &[&str]| Kind {
        class,
        statements: statements.iter().map(|text| (*text).to_owned()).collect(),
        ..Kind::default()
    };
    let mut state = State { version: 7, index: 1, ..State::default() };
    let mut declarations = config::Declarations::default();
    declarations.groups.insert(name("booking"), Group { servers: 3, ..Group::default() });
    declarations.groups.insert(name("closed"), Group { servers: 3, ..Group::default() });
    for service in ["web", "desk"] {
        let limits = Limits { deadline_ms: 3_000, ..Limits::default() };
        let (labels, objectives) = (config::Labels::new(), Vec::new());
        let declared = Service { labels, weight: 1, limits, objectives };
        declarations.services.insert(name(service), declared);
    }
    let seats = config::Database {
        group: name("booking"),
        age_ms: 0,
        priority: 0,
        objective_ms: 0,
        limits: Limits { deadline_ms: 3_000, ..Limits::default() },
        public: false,
    };
    declarations.databases.insert(name("seats"), seats);
    let mut kinds = std::collections::BTreeMap::new();
    kinds.insert(name("seat-map"), kind(Class::Read, &["select seat"]));
    let selector = Selector {
        services: config::Labels::new(),
        groups: vec![name("booking")],
        backends: config::Labels::new(),
        kinds,
    };
    declarations.selectors.insert(name("all"), selector);
    state.declarations = Arc::new(declarations);
    let mut group = control::state::Group::default();
    for (keeper, address) in keepers {
        let entry = control::state::Entry {
            sole: false,
            weight: 1,
            incarnation: 1,
            address: *address,
            web: None,
            zone: name("a"),
            draining: false,
        };
        state.entries.insert(name(keeper), entry);
        let lease = Lease { entry: (*keeper).to_owned(), incarnation: 1, ..Lease::default() };
        group.leases.push(lease);
    }
    state.groups.insert(name("booking"), group);
    state
}

/// Starts a front with two keepers that share one model of a backend connection.
pub async fn bench(users: Option<&str>) -> Bench {
    let shared = Arc::new(Shared::default());
    let first = keeper("one", Arc::clone(&shared)).await;
    let second = keeper("two", Arc::clone(&shared)).await;
    bench_with(users, Duration::from_mins(10), shared, &[("one", first), ("two", second)]).await
}

/// Paths of a self-signed certificate and its key.
pub fn tls() -> front::tls::Tls {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fake");
    front::tls::Tls { cert: folder.join("cert.pem"), key: folder.join("key.pem") }
}

/// Starts a front with these keepers and a lease that expires after `lease`.
pub async fn bench_with(
    users: Option<&str>,
    lease: Duration,
    shared: Arc<Shared>,
    keepers: &[(&str, SocketAddr)],
) -> Bench {
    bench_of(users, None, lease, shared, keepers).await
}

/// As [`bench_with`], for callers of the given dialect.
pub async fn bench_of(
    users: Option<&str>,
    dialect: Option<Arc<dyn plain::Dialect>>,
    lease: Duration,
    shared: Arc<Shared>,
    keepers: &[(&str, SocketAddr)],
) -> Bench {
    let (view, _) = View::new();
    let clock = Clock::start();
    view.write(|known| *known = state(keepers));
    view.extend_lease(clock.now() + lease);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let front = front::start(front::Settings {
        name: name("three"),
        zone: name("a"),
        incarnation: 1,
        listener,
        key: key(),
        users: users.map(|text| text.parse().unwrap()),
        tls: Some(front::tls::load(&tls()).unwrap()),
        view: view.clone(),
        clock,
        without: Without::default(),
        dialect,
        metrics: Arc::default(),
        log: log(),
    });
    Bench { front, address, shared, view }
}

impl Bench {
    pub fn config(&self) -> tokio_postgres::Config {
        let mut config = tokio_postgres::Config::new();
        config.host(self.address.ip().to_string()).port(self.address.port());
        config.user("web").dbname("booking");
        config
    }

    pub async fn connect(&self) -> tokio_postgres::Client {
        connect(&self.config()).await.unwrap()
    }
}

pub async fn connect(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    tokio::spawn(async move { drop(connection.await) });
    Ok(client)
}

/// Rows of a simple query: the first column, as text.
pub async fn rows(
    client: &tokio_postgres::Client,
    query: &str,
) -> Result<Vec<String>, tokio_postgres::Error> {
    let messages = client.simple_query(query).await?;
    let row = |message: &tokio_postgres::SimpleQueryMessage| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap().to_owned()),
        _ => None,
    };
    Ok(messages.iter().filter_map(row).collect())
}

/// SQLSTATE of the error in a result, which must be one.
pub fn code<T: std::fmt::Debug>(result: Result<T, tokio_postgres::Error>) -> String {
    result.unwrap_err().code().expect("the error has an SQLSTATE").code().to_owned()
}
