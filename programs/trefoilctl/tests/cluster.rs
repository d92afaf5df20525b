//! The command line against all parts in one process.

use std::net::SocketAddr;

use base::prelude::*;
use control::Overview;
use control::overview::Failover;
use local::{Cluster, Scenario, Settings};
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio_postgres::NoTls;

const GROUP: &str = "entries-1";
const REQUESTS: u64 = 20;
const POLL: Duration = Duration::from_millis(50);

/// Looks at the status before a failover counts as lost.
const LOOKS: usize = 300;

/// Tries of what a slow machine may spoil: a leader that stays through a
/// failover, a report before a killed entry's lease runs out.
const TRIES: usize = 5;

async fn ask<T: DeserializeOwned>(admin: SocketAddr, arguments: &[&str]) -> T {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command.env_remove("TREFOIL_ADMIN").arg("--admin").arg(admin.to_string());
    let output = command.args(arguments).output().await.unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn request(entry: SocketAddr) {
    let mut config = tokio_postgres::Config::new();
    config.host(entry.ip().to_string()).port(entry.port());
    config.user(Scenario::Lakeshore.service()).dbname(GROUP);
    let (client, connection) = config.connect(NoTls).await.unwrap();
    let driver = tokio::spawn(connection);
    for _ in 0..REQUESTS {
        client.simple_query("select 1").await.unwrap();
    }
    drop(client);
    driver.await.unwrap().unwrap();
}

async fn lists(admin: SocketAddr, entry: &str) -> bool {
    let overview = status(admin).await;
    overview.entries.iter().any(|known| known.name == entry && known.web.is_some())
}

/// A report made while the killed entry still counts as one that lives.
async fn report_without(cluster: &Cluster, index: usize, name: &str) -> burn::Report {
    let admin = cluster.admins()[0];
    for _ in 0..TRIES {
        cluster.kill_entry(index).await;
        let report: burn::Report = ask(admin, &["burn", "--json"]).await;
        if !report.missing.is_empty() {
            return report;
        }
        // its lease had run out before it was asked for
        cluster.start_entry(index).await.unwrap();
        for _ in 0..LOOKS {
            if lists(admin, name).await {
                break;
            }
            sleep(POLL).await;
        }
    }
    panic!("{name} was gone before each of {TRIES} reports");
}

async fn status(admin: SocketAddr) -> Overview {
    ask(admin, &["status", "--json"]).await
}

/// A whole failover as the leader tells it; `None` where its phases went with
/// another leader.
async fn told(admin: SocketAddr, before: &Overview, term: u64) -> Option<Failover> {
    for _ in 0..LOOKS {
        let overview = status(admin).await;
        if overview.term != before.term {
            return None;
        }
        let whole =
            |f: &Failover| f.group == GROUP && f.term > term && f.established_after_ms.is_some();
        if let Some(failover) = overview.failovers.into_iter().find(whole) {
            return Some(failover);
        }
        sleep(POLL).await;
    }
    panic!("no whole failover in {LOOKS} looks at {admin}");
}

/// Crashes a primary; gives the failover as each member tells it, and the old
/// primary.
async fn watch_failover(cluster: &Cluster) -> (Failover, Option<String>) {
    'tries: for _ in 0..TRIES {
        let before = status(cluster.admins()[0]).await;
        let group = before.groups.iter().find(|group| group.name == GROUP).unwrap();
        if cluster.groups().inject(GROUP, standin::Fault::PrimaryCrash).await.is_err() {
            sleep(POLL).await;
            continue;
        }
        let mut all = Vec::new();
        // asked of each member, so that followers pass the question on
        for admin in cluster.admins() {
            let Some(failover) = told(admin, &before, group.term).await else {
                cluster.groups().inject(GROUP, standin::Fault::Heal).await.unwrap();
                continue 'tries;
            };
            all.push(failover);
        }
        let steps = |f: &Failover| (f.term, f.promoted_after_ms, f.established_after_ms);
        assert!(all.iter().all(|failover| steps(failover) == steps(&all[0])), "{all:?}");
        return (all.swap_remove(0), group.primary.clone());
    }
    panic!("no leader saw a whole failover in {TRIES} tries");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shows_a_failover_and_what_entries_counted() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let settings = Settings { entries: 2, ..Settings::new(Scenario::Lakeshore, log) };
    let cluster = Cluster::start(settings).await.unwrap();
    for entry in cluster.entries().await {
        request(entry).await;
    }

    let (failover, old) = watch_failover(&cluster).await;
    let [fenced, promoted, established] = [
        failover.fenced_after_ms.unwrap(),
        failover.promoted_after_ms.unwrap(),
        failover.established_after_ms.unwrap(),
    ];
    assert!(fenced <= promoted && promoted <= established, "{failover:?}");
    assert!(failover.noticed_ms_ago.is_some() && failover.cause.is_some(), "{failover:?}");
    assert!(failover.server.is_some() && failover.server != old, "{failover:?}");

    let report = report_without(&cluster, 1, "entry-2").await;
    let missing: Vec<&str> = report.missing.iter().map(Name::as_str).collect();
    let sources: Vec<&str> = report.sources.iter().map(|s| s.entry.as_str()).collect();
    assert_eq!((sources, missing), (vec!["entry-1"], vec!["entry-2"]));
    let service = Scenario::Lakeshore.service();
    let rows = report.rows.iter().filter(|row| row.service.as_str() == service);
    assert!(rows.map(|row| row.count.total()).max() >= Some(REQUESTS), "{:?}", report.rows);
    cluster.stop().await;
}
