//! Failovers under load lose no write that a majority of servers held, and apply no
//! write twice.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use backend::Probe as _;
use backend::sql::Probe;
use base::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::{Fault, Group, Settings};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const ROUNDS: u64 = 8;
const WRITERS: u64 = 6;
const SEED: u64 = 11;
const TIMEOUT: Duration = Duration::from_secs(10);

struct World {
    group: Group,
    primary: Mutex<SocketAddr>,
    next: AtomicU64,
    stopped: AtomicBool,
    acked: Mutex<BTreeSet<u64>>,
}

async fn connect(address: SocketAddr) -> Option<Client> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("ring").dbname("entries-1");
    let (client, connection) = config.connect(NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

async fn row(client: &Client, query: &str) -> Option<Vec<u64>> {
    let messages = client.simple_query(query).await.ok()?;
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            (0..row.len()).map(|at| row.get(at).and_then(|text| text.parse().ok())).collect()
        }
        _ => None,
    })
}

// a write is acknowledged once a majority, the primary among them, reports its entry
// in the term in which it was written
async fn write(world: &World, client: &Client) -> Option<()> {
    let id = world.next.fetch_add(1, Ordering::Relaxed);
    client.simple_query(&format!("INSERT INTO tags VALUES ({id})")).await.ok()?;
    let mark = row(client, "SELECT * FROM trefoil_mark()").await?;
    let mark = Mark::new(mark[0], mark[1]);
    for _ in 0..100 {
        let statuses = world.group.statuses();
        let primary_holds = statuses.iter().any(|s| s.role == Role::Primary && s.holds(mark));
        if primary_holds && statuses.iter().filter(|status| status.holds(mark)).count() >= 2 {
            world.acked.lock().unwrap().insert(id);
            return Some(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    None
}

async fn writer(world: Arc<World>) {
    while !world.stopped.load(Ordering::Relaxed) {
        let address = *world.primary.lock().unwrap();
        if let Some(client) = connect(address).await {
            while write(&world, &client).await.is_some() {
                if world.stopped.load(Ordering::Relaxed) {
                    return;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn probe(address: SocketAddr) -> Probe {
    Probe::connect(address, TIMEOUT).await.unwrap()
}

// fences all servers but the old primary, promotes the one whose last entry has the
// highest term and position, and makes the others follow it
async fn fail_over(world: &World, term: Term) {
    let old = *world.primary.lock().unwrap();
    let mut fenced = Vec::new();
    for address in world.group.servers().into_iter().filter(|address| *address != old) {
        fenced.push((probe(address).await.fence(term).await.unwrap().last(), address));
    }
    fenced.sort_unstable();
    let (_, chosen) = fenced.pop().unwrap();
    let mut promoted = probe(chosen).await;
    // a server that still rebuilds its database after an earlier rewind becomes
    // primary once that is complete
    let promotion = async {
        loop {
            let status = promoted.promote(term).await.unwrap();
            assert_eq!(status.term, term);
            if status.role == Role::Primary {
                break;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, promotion).await.expect("the chosen server becomes primary");
    for (_, address) in fenced {
        probe(address).await.follow(term, chosen).await.unwrap();
    }
    *world.primary.lock().unwrap() = chosen;
    world.group.inject(Fault::Heal).await.unwrap();
    probe(old).await.follow(term, chosen).await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keeps_what_a_majority_held() {
    let name = Name::new("entries-1").unwrap();
    let lag = Duration::from_millis(10);
    let settings = Settings { settled: true, lag, connect_time: lag, ..Settings::new(name) };
    let group = Group::start(settings).await.unwrap();
    let primary = group.servers()[0];
    let client = connect(primary).await.unwrap();
    client.simple_query("CREATE TABLE tags (id bigint)").await.unwrap();
    let world = Arc::new(World {
        group,
        primary: Mutex::new(primary),
        next: AtomicU64::new(0),
        stopped: AtomicBool::new(false),
        acked: Mutex::default(),
    });
    let writers: Vec<_> = (0..WRITERS).map(|_| tokio::spawn(writer(Arc::clone(&world)))).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..ROUNDS {
        tokio::time::sleep(Duration::from_millis(rng.random_range(30..150))).await;
        let fault = if rng.random() { Fault::PrimaryCrash } else { Fault::PrimaryPartition };
        world.group.inject(fault).await.unwrap();
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
        fail_over(&world, Term(round + 2)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.stopped.store(true, Ordering::Relaxed);
    for writer in writers {
        writer.await.unwrap();
    }
    check(&world).await;
}

async fn check(world: &World) {
    let alike = |statuses: &[Status]| {
        let last = statuses[0].last();
        statuses.iter().all(|status| status.last() == last && status.applied == last.position)
    };
    let settled = async {
        while !alike(&world.group.statuses()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, settled).await.unwrap();
    let acked = world.acked.lock().unwrap().clone();
    assert!(!acked.is_empty());
    for address in world.group.servers() {
        let client = connect(address).await.unwrap();
        let messages = client.simple_query("SELECT id FROM tags").await.unwrap();
        let ids: Vec<u64> = messages
            .iter()
            .filter_map(|message| match message {
                SimpleQueryMessage::Row(row) => row.get(0).and_then(|text| text.parse().ok()),
                _ => None,
            })
            .collect();
        let unique: BTreeSet<_> = ids.iter().copied().collect();
        assert_eq!(unique.len(), ids.len(), "a write was applied twice");
        let lost: Vec<_> = acked.difference(&unique).collect();
        assert!(lost.is_empty(), "lost acknowledged writes {lost:?}");
    }
}
