//! Complete entries, from a caller to a simulated database group.

mod seats;

use std::sync::Arc;

use base::clock::Clock;
use base::mechanism::Without;
use base::prelude::*;
use entry::{Handle, Stop};
use link::Key;
use tokio_postgres::{Client, NoTls};
use wire::log::Lease;

use seats::Size;

const GROUP: &str = "booking-1";
const KEEPERS: [&str; 2] = ["entry-1", "entry-2"];

struct Bench {
    group: standin::Group,
    entries: Vec<(entry::Addresses, Handle)>,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

async fn start(entry_name: &str, clock: Clock) -> (entry::Addresses, Handle) {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let bound = entry::bind(entry::Settings {
        name: name(entry_name),
        zone: name("lansing"),
        incarnation: 1,
        callers: any_port,
        link: any_port,
        web: any_port,
        sole: false,
        weight: 1,
        controls: Vec::new().into(),
        key: Key::new(b"a key of the tests of entries").unwrap(),
        users: None,
        tls: None,
        without: Without::default(),
        dialect: None,
        quota: quota::Bounds::default(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        clock,
    });
    let bound = bound.await.unwrap();
    (bound.addresses(), bound.start())
}

fn state(group: &standin::Group, entries: &[(entry::Addresses, Handle)]) -> control::State {
    let declarations = serde_json::from_value(serde_json::json!({
        "groups": { GROUP: { "servers": 3 } },
        "services": { "web": {} },
        "selectors": { "all": { "kinds": {
            "seat-map": { "class": "read", "age_ms": 5000, "statements": ["SELECT seat"] },
        } } },
    }));
    let mut state = control::State { index: 1, version: 1, ..control::State::default() };
    state.declarations = Arc::new(declarations.unwrap());
    let size = Size { slots: 2, granted: (6, 1) };
    let (mut control_group, shares) = seats::add(&mut state, &name(GROUP), group, size);
    for (entry_name, (addresses, _)) in ["entry-1", "entry-2", "entry-3"].iter().zip(entries) {
        let entry = control::state::Entry {
            sole: false,
            weight: 1,
            incarnation: 1,
            address: addresses.link,
            web: Some(addresses.web),
            zone: name("lansing"),
            draining: false,
        };
        state.entries.insert(name(entry_name), entry);
    }
    for keeper in KEEPERS {
        let (entry, shares) = (keeper.to_owned(), shares.clone());
        control_group.leases.push(Lease { entry, incarnation: 1, shares, returning: false });
    }
    state.groups.insert(name(GROUP), control_group);
    state
}

async fn bench() -> Bench {
    let settings = standin::Settings { settled: true, ..standin::Settings::new(name(GROUP)) };
    let group = standin::Group::start(settings).await.unwrap();
    let clock = Clock::start();
    let mut entries = Vec::new();
    for entry_name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(start(entry_name, clock).await);
    }
    let state = state(&group, &entries);
    for (_, handle) in &entries {
        handle.view().write(|current| current.clone_from(&state));
        handle.view().extend_lease(Instant::from_millis(3_600_000));
    }
    Bench { group, entries }
}

impl Bench {
    async fn connect(&self, index: usize) -> Client {
        let address = self.entries[index].0.callers;
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port()).user("web").dbname(GROUP);
        let (client, connection) = config.connect(NoTls).await.unwrap();
        tokio::spawn(async move { drop(connection.await) });
        client
    }

    async fn stop(self) {
        for (_, handle) in self.entries {
            handle.kill();
        }
        self.group.stop().await;
    }
}

/// Counts seats with a declared read, which a replica may serve.
async fn count(client: &Client) -> usize {
    let rows = client.query("SELECT seat FROM seats", &[]).await.unwrap();
    rows.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_reads_its_writes_at_each_entry() {
    let bench = bench().await;
    let mut client = bench.connect(2).await;
    client.batch_execute("CREATE TABLE seats (seat TEXT)").await.unwrap();
    let insert = client.prepare("INSERT INTO seats VALUES ($1)").await.unwrap();
    for seat in ["1A", "1B", "1C"] {
        assert_eq!(client.execute(&insert, &[&seat]).await.unwrap(), 1);
        assert_eq!(count(&client).await, usize::from(seat.as_bytes()[1] - b'A') + 1);
    }
    let transaction = client.transaction().await.unwrap();
    transaction.execute(&insert, &[&"2A"]).await.unwrap();
    transaction.rollback().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction.execute(&insert, &[&"2B"]).await.unwrap();
    transaction.commit().await.unwrap();
    let token = client.simple_query("SHOW trefoil.session").await.unwrap();
    let token = token.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    let roaming = bench.connect(0).await;
    roaming.batch_execute(&format!("SET trefoil.session = '{}'", token.unwrap())).await.unwrap();
    assert_eq!(count(&roaming).await, 4);
    let tokenless = bench.connect(1).await;
    assert_eq!(count(&tokenless).await, 4);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_loses_and_doubles_nothing() {
    let mut bench = bench().await;
    let first = bench.connect(2).await;
    first.batch_execute("CREATE TABLE seats (seat TEXT)").await.unwrap();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut writers = Vec::new();
    for writer in 0..4 {
        let (client, stopped) = (bench.connect(2).await, stopped.clone());
        writers.push(tokio::spawn(async move {
            let insert = client.prepare("INSERT INTO seats VALUES ($1)").await.unwrap();
            let mut written = 0;
            while !*stopped.borrow() {
                let seat = format!("{writer}-{written}");
                client.execute(&insert, &[&seat]).await.unwrap();
                written += 1;
            }
            written
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (_, keeper) = bench.entries.remove(0);
    keeper
        .stop_with(Stop {
            balancer: Duration::ZERO,
            limit: Duration::from_secs(5),
            ..Stop::default()
        })
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    stop.send_replace(true);
    let mut written = 0;
    for writer in writers {
        written += writer.await.unwrap();
    }
    assert!(written > 0);
    // only statements of the declared kind may show old data; this statement is of no
    // declared kind
    let rows = first.query("SELECT * FROM seats", &[]).await.unwrap();
    assert_eq!(rows.len(), written);
    bench.stop().await;
}

/// Seats that a writer tried to insert, by the result of each insert.
#[derive(Default)]
struct Results {
    done: Vec<String>,
    not_run: Vec<String>,
    unknown: Vec<String>,
}

async fn write(
    client: Client,
    writer: usize,
    stopped: tokio::sync::watch::Receiver<bool>,
) -> Results {
    let mut results = Results::default();
    let mut written = 0;
    while !*stopped.borrow() {
        let seat = format!("{writer}-{written}");
        written += 1;
        let result = client.execute("INSERT INTO seats VALUES ($1)", &[&seat]).await;
        match result.map_err(|error| error.code().expect("an SQLSTATE").code().to_owned()) {
            Ok(_) => results.done.push(seat),
            Err(code) if code == "TF001" => results.not_run.push(seat),
            Err(code) => {
                assert_eq!(code, "TF002");
                results.unknown.push(seat);
            }
        }
    }
    results
}

#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_correct_when_a_keeper_crashes() {
    let mut bench = bench().await;
    let first = bench.connect(2).await;
    first.batch_execute("CREATE TABLE seats (seat TEXT)").await.unwrap();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut writers = Vec::new();
    for writer in 0..4 {
        writers.push(tokio::spawn(write(bench.connect(2).await, writer, stopped.clone())));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (_, keeper) = bench.entries.remove(0);
    keeper.kill();
    tokio::time::sleep(Duration::from_millis(500)).await;
    stop.send_replace(true);
    let mut results = Vec::new();
    for writer in writers {
        results.push(writer.await.unwrap());
    }
    let rows = first.query("SELECT * FROM seats", &[]).await.unwrap();
    let count = |seat: &String| rows.iter().filter(|row| row.get::<_, &str>(0) == seat).count();
    for result in &results {
        assert!(result.done.iter().all(|seat| count(seat) == 1));
        assert!(result.not_run.iter().all(|seat| count(seat) == 0));
        assert!(result.unknown.iter().all(|seat| count(seat) <= 1));
    }
    assert!(results.iter().all(|result| result.done.len() > 10));
    bench.stop().await;
}
