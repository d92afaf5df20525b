//! Replication, terms and faults of a group, as observed by its clients.

use std::net::SocketAddr;

use backend::Probe as _;
use backend::sql::Probe;
use base::prelude::*;
use standin::{Fault, Group, Settings};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const TIMEOUT: Duration = Duration::from_secs(10);

fn settings(settled: bool) -> Settings {
    let name = Name::new("entries-1").unwrap();
    Settings { settled, lag: Duration::from_millis(5), ..Settings::new(name) }
}

async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("ring").dbname("entries-1");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn connect(address: SocketAddr) -> Client {
    try_connect(address).await.unwrap()
}

async fn probe(address: SocketAddr) -> Probe {
    Probe::connect(address, TIMEOUT).await.unwrap()
}

async fn value(client: &Client, query: &str) -> String {
    let messages = client.simple_query(query).await.unwrap();
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("null").to_owned()),
        _ => None,
    });
    rows.collect::<Vec<_>>().join(",")
}

async fn sql_state(client: &Client, query: &str) -> String {
    let error = client.simple_query(query).await.unwrap_err();
    error.code().map_or_else(|| "broken".to_owned(), |code| code.code().to_owned())
}

async fn until(group: &Group, holds: impl Fn(&[Status]) -> bool) {
    let reached = async {
        while !holds(&group.statuses()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = tokio::time::timeout(TIMEOUT, reached).await;
    reached.unwrap_or_else(|_elapsed| panic!("state not reached: {:#?}", group.statuses()));
}

fn alike(statuses: &[Status]) -> bool {
    let first = &statuses[0];
    statuses.iter().all(|status| status.applied == first.received && status.last() == first.last())
}

#[tokio::test]
async fn copies_what_the_primary_commits() {
    let group = Group::start(settings(true)).await.unwrap();
    let [primary, replica, _] = group.servers()[..] else { panic!("three servers") };
    let client = connect(primary).await;
    client.simple_query("CREATE TABLE tags (id bigint primary key, ring text)").await.unwrap();
    client.simple_query("INSERT INTO tags VALUES (1, 'a;b'), (2, 'c')").await.unwrap();
    until(&group, alike).await;
    let reader = connect(replica).await;
    assert_eq!(value(&reader, "SELECT ring FROM tags ORDER BY id").await, "a;b,c");
    assert_eq!(sql_state(&reader, "DELETE FROM tags").await, "25006");
    assert_eq!(value(&reader, "SELECT * FROM trefoil_mark()").await, "1");
    group.stop().await;
}

#[tokio::test]
async fn takes_no_commit_after_a_fence() {
    let group = Group::start(settings(true)).await.unwrap();
    let primary = group.servers()[0];
    let client = connect(primary).await;
    client.simple_query("CREATE TABLE tags (id bigint)").await.unwrap();
    client.simple_query("BEGIN; INSERT INTO tags VALUES (1)").await.unwrap();
    let fenced = probe(primary).await.fence(Term(2)).await.unwrap();
    assert_eq!((fenced.term, fenced.log_term, fenced.role), (Term(2), Term(1), Role::Replica));
    assert_eq!(sql_state(&client, "COMMIT").await, "25006");
    assert_eq!(sql_state(&client, "INSERT INTO tags VALUES (2)").await, "25006");
    let after = probe(primary).await.status(0, Duration::ZERO).await.unwrap();
    assert_eq!(after.received, fenced.received);
    group.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reports_all_commits_at_a_concurrent_fence() {
    let group = Group::start(settings(true)).await.unwrap();
    let primary = group.servers()[0];
    connect(primary).await.simple_query("CREATE TABLE tags (id bigint)").await.unwrap();
    let writers = (0..4).map(|_| async {
        let client = connect(primary).await;
        let mut written = 0;
        while client.simple_query("INSERT INTO tags VALUES (1)").await.is_ok() {
            written += 1;
        }
        written
    });
    let fence = async {
        until(&group, |statuses| statuses[0].received > Position(40)).await;
        probe(primary).await.fence(Term(2)).await.unwrap().received
    };
    let (written, fenced) = tokio::join!(futures::future::join_all(writers), fence);
    // the entries that start the term and create the table precede the rows
    assert_eq!(fenced.0, 2 + written.iter().sum::<u64>());
    assert_eq!(group.statuses()[0].received, fenced);
    group.stop().await;
}

#[tokio::test]
async fn truncates_entries_that_the_new_primary_lacks() {
    let group = Group::start(settings(true)).await.unwrap();
    let [old, new, other] = group.servers()[..] else { panic!("three servers") };
    let client = connect(old).await;
    client.simple_query("CREATE TABLE tags (id bigint)").await.unwrap();
    client.simple_query("INSERT INTO tags VALUES (1)").await.unwrap();
    until(&group, alike).await;
    group.inject(Fault::PrimaryPartition).await.unwrap();
    client.simple_query("INSERT INTO tags VALUES (2)").await.unwrap();
    for server in [new, other] {
        probe(server).await.fence(Term(2)).await.unwrap();
    }
    let promoted = probe(new).await.promote(Term(2)).await.unwrap();
    assert_eq!((promoted.role, promoted.last()), (Role::Primary, Mark::new(2, 4)));
    probe(other).await.follow(Term(2), new).await.unwrap();
    connect(new).await.simple_query("INSERT INTO tags VALUES (3)").await.unwrap();
    group.inject(Fault::Heal).await.unwrap();
    probe(old).await.follow(Term(2), new).await.unwrap();
    until(&group, alike).await;
    let status = probe(old).await.status(0, Duration::ZERO).await.unwrap();
    assert_eq!(status.history.to_string(), "1:0,2:3");
    assert!(client.simple_query("SELECT 1").await.is_err(), "a rewind must end data sessions");
    assert_eq!(value(&connect(old).await, "SELECT id FROM tags").await, "1,3");
    group.stop().await;
}

#[tokio::test]
async fn keeps_log_and_address_over_a_crash() {
    let group = Group::start(settings(true)).await.unwrap();
    let before = group.servers();
    let client = connect(before[0]).await;
    client.simple_query("CREATE TABLE tags (id bigint)").await.unwrap();
    group.inject(Fault::PrimaryCrash).await.unwrap();
    assert!(client.simple_query("SELECT 1").await.is_err());
    let refused = Probe::connect(before[0], TIMEOUT).await.unwrap_err();
    assert_eq!(*refused.current_context(), backend::Failure::Refused);
    group.inject(Fault::Heal).await.unwrap();
    assert_eq!(group.servers(), before);
    let status = probe(before[0]).await.status(0, Duration::ZERO).await.unwrap();
    assert_eq!((status.term, status.role, status.received), (Term(1), Role::Replica, Position(2)));
    assert_eq!(value(&connect(before[0]).await, "SELECT count(*) FROM tags").await, "0");
    group.stop().await;
}

#[tokio::test]
async fn reports_a_change_to_a_waiting_probe() {
    let group = Group::start(settings(true)).await.unwrap();
    let primary = group.servers()[0];
    let mut watcher = probe(primary).await;
    let known = watcher.status(0, Duration::ZERO).await.unwrap();
    let client = connect(primary).await;
    let write = client.simple_query("CREATE TABLE tags (id bigint)");
    let (changed, written) = tokio::join!(watcher.status(known.version, TIMEOUT), write);
    written.unwrap();
    assert!(changed.unwrap().received > known.received);
    group.stop().await;
}

#[tokio::test]
async fn refuses_connections_beyond_the_limit() {
    let group = Group::start(Settings { connections: 2, ..settings(true) }).await.unwrap();
    let primary = group.servers()[0];
    let (_first, _second) = (connect(primary).await, connect(primary).await);
    let refused = try_connect(primary).await.unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "53300");
    probe(primary).await.status(0, Duration::ZERO).await.unwrap();
    assert_eq!((group.counts()[0].peak_connections, group.counts()[0].refused), (2, 1));
    group.stop().await;
}
