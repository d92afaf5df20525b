//! End-to-end tests of callers, entries, control members and stand-in groups.

use std::net::SocketAddr;

use base::prelude::*;
use local::{Cluster, Scenario, Settings};
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const GROUP: &str = "entries-1";

async fn cluster() -> Cluster {
    let settings = Settings::new(Scenario::Lakeshore, Logger::root(Discard, o!()));
    Cluster::start(settings).await.expect("the cluster starts")
}

async fn connect(address: SocketAddr, user: &str, token: Option<&str>) -> Result<Client, String> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user(user).dbname(GROUP);
    if let Some(token) = token {
        config.options(format!("-c trefoil.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await.map_err(|error| {
        error
            .as_db_error()
            .map_or_else(|| error.to_string(), |error| error.code().code().to_owned())
    })?;
    tokio::spawn(connection);
    Ok(client)
}

async fn caller(address: SocketAddr, token: Option<&str>) -> Client {
    connect(address, Scenario::Lakeshore.service(), token).await.expect("the login is accepted")
}

async fn first_column(client: &Client, query: &str) -> Vec<String> {
    let messages = client.simple_query(query).await.expect("the query succeeds");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_its_writes_at_each_entry_and_through_a_crash() {
    let cluster = cluster().await;
    let entries = cluster.entries().await;
    let writer = caller(entries[0], None).await;
    writer
        .batch_execute("create table t (id int primary key)")
        .await
        .expect("the table is created");
    let mut token = String::new();
    for id in 0..6 {
        if id == 3 {
            let crash = standin::Fault::PrimaryCrash;
            cluster.groups().inject(GROUP, crash).await.expect("the group has a primary");
        }
        let known = (!token.is_empty()).then_some(token.as_str());
        let client = caller(entries[id % 3], known).await;
        client
            .batch_execute(&format!("insert into t values ({id})"))
            .await
            .expect("the insert succeeds, also during a failover");
        token = first_column(&client, "show trefoil.session").await.remove(0);
        let expected: Vec<String> = (0..=id).map(|id| id.to_string()).collect();
        let reader = caller(entries[(id + 1) % 3], Some(&token)).await;
        let read =
            first_column(&reader, "/*kind='entry-status'*/ select id from t order by id").await;
        assert_eq!(read, expected, "with a token");
        let other = caller(entries[(id + 2) % 3], None).await;
        let read =
            first_column(&other, "/*kind='entry-status'*/ select id from t order by id").await;
        assert_eq!(read, expected, "without a token");
    }
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_ends_only_its_own_connection() {
    let cluster = cluster().await;
    let entry = cluster.entries().await[0];
    let client = caller(entry, None).await;
    for input in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0, 0, 0, 9, 0, 3, 0, 0, 0]] {
        let mut stream = tokio::net::TcpStream::connect(entry).await.expect("connects");
        stream.write_all(input).await.expect("the input is sent");
        let mut answer = Vec::new();
        // the entry may answer with an error or reset the connection; the test only
        // requires that the connection ends
        let _ended = stream.read_to_end(&mut answer).await;
    }
    let half_open = tokio::net::TcpStream::connect(entry).await.expect("connects");
    let unknown = connect(entry, "nobody", None).await.map(drop);
    assert_eq!(unknown, Err("28000".to_owned()));
    let forged = connect(entry, Scenario::Lakeshore.service(), Some("CAEVaU5njRo")).await.map(drop);
    assert_eq!(forged, Err("TF003".to_owned()));
    assert_eq!(first_column(&client, "select 7").await, ["7"]);
    drop(half_open);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_member_never_restores_an_old_version() {
    let cluster = cluster().await;
    let admins = cluster.admins();
    let client = reqwest::Client::new();
    let config = async |admin: SocketAddr| -> Option<serde_json::Value> {
        let answer = client.get(format!("http://{admin}/v1/config")).send().await.ok()?;
        answer.error_for_status().ok()?.json().await.ok()
    };
    cluster.isolate_control(0, true).await;
    let before = loop {
        if let Some(found) = config(admins[1]).await {
            break found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let change = serde_json::json!({
        "change": "while-cut-off", "base": before["version"], "content": before["content"],
    });
    loop {
        let sent = client.post(format!("http://{}/v1/changes", admins[2])).json(&change).send();
        if sent.await.is_ok_and(|answer| answer.status().is_success()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(config(admins[0]).await.is_none(), "an isolated member returns no declarations");
    cluster.isolate_control(0, false).await;
    let version = before["version"].as_u64().map(|version| version + 1);
    for admin in admins {
        let found = loop {
            if let Some(found) = config(admin).await {
                break found;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(found["version"].as_u64(), version, "version at the member {admin}");
    }
    cluster.stop().await;
}
