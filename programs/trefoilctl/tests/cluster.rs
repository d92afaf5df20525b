//! Runs the command line against a whole system in one process.

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
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Status requests before the test stops waiting for a failover or an entry.
const MAX_POLLS: usize = 300;

/// Attempts at steps that depend on timing and may fail on a slow machine: the
/// control leader must stay the same throughout a failover, and a report must be
/// made before a killed entry's lease expires.
const MAX_ATTEMPTS: usize = 5;

async fn run_json<T: DeserializeOwned>(admin: SocketAddr, arguments: &[&str]) -> T {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command.env_remove("TREFOIL_ADMIN").arg("--admin").arg(admin.to_string());
    let output = command.args(arguments).output().await.unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn send_requests(entry: SocketAddr) {
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

async fn is_listed(admin: SocketAddr, entry: &str) -> bool {
    let overview = status(admin).await;
    overview.entries.iter().any(|known| known.name == entry && known.web.is_some())
}

/// Kills an entry and returns a report made before the entry's lease expired, so
/// that the entry still counts as alive.
async fn report_without(cluster: &Cluster, index: usize, name: &str) -> burn::Report {
    let admin = cluster.admins()[0];
    for _ in 0..MAX_ATTEMPTS {
        cluster.kill_entry(index).await;
        let report: burn::Report = run_json(admin, &["burn", "--json"]).await;
        if !report.missing.is_empty() {
            return report;
        }
        // The entry's lease expired before the report was requested.
        cluster.start_entry(index).await.unwrap();
        for _ in 0..MAX_POLLS {
            if is_listed(admin, name).await {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    panic!("the lease of {name} expired before each of {MAX_ATTEMPTS} reports");
}

async fn status(admin: SocketAddr) -> Overview {
    run_json(admin, &["status", "--json"]).await
}

/// Waits for a complete failover to a term after `term` and returns the control
/// leader's record; `None` if the control leader changed, since a new one does not
/// know the times of the failover's phases.
async fn wait_for_failover(admin: SocketAddr, before: &Overview, term: u64) -> Option<Failover> {
    for _ in 0..MAX_POLLS {
        let overview = status(admin).await;
        if overview.term != before.term {
            return None;
        }
        let is_complete =
            |f: &Failover| f.group == GROUP && f.term > term && f.established_after_ms.is_some();
        if let Some(failover) = overview.failovers.into_iter().find(is_complete) {
            return Some(failover);
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("no complete failover in {MAX_POLLS} status requests to {admin}");
}

/// Crashes a primary and checks that every member reports the same failover.
/// Returns this failover and the old primary.
async fn watch_failover(cluster: &Cluster) -> (Failover, Option<String>) {
    'attempts: for _ in 0..MAX_ATTEMPTS {
        let before = status(cluster.admins()[0]).await;
        let group = before.groups.iter().find(|group| group.name == GROUP).unwrap();
        if cluster.groups().inject(GROUP, standin::Fault::PrimaryCrash).await.is_err() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let mut all = Vec::new();
        // Asking each member also covers followers, whose answer refers the client
        // to the leader.
        for admin in cluster.admins() {
            let Some(failover) = wait_for_failover(admin, &before, group.term).await else {
                cluster.groups().inject(GROUP, standin::Fault::Heal).await.unwrap();
                continue 'attempts;
            };
            all.push(failover);
        }
        let steps = |f: &Failover| (f.term, f.promoted_after_ms, f.established_after_ms);
        assert!(all.iter().all(|failover| steps(failover) == steps(&all[0])), "{all:?}");
        return (all.swap_remove(0), group.primary.clone());
    }
    panic!("no leader observed a complete failover in {MAX_ATTEMPTS} attempts");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shows_a_failover_and_what_entries_counted() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let settings = Settings { entries: 2, ..Settings::new(Scenario::Lakeshore, log) };
    let cluster = Cluster::start(settings).await.unwrap();
    for entry in cluster.entries().await {
        send_requests(entry).await;
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
