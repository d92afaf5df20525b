//! A front between PostgreSQL callers and fake keepers.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use base::prelude::*;

use fake::raw::{FLUSH, SYNC, TERMINATE, startup, statement};
use fake::{Fault, bench, code, connect, rows};
use rand::{RngExt as _, SeedableRng as _};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::data::{Class, Reason, ask};

#[tokio::test]
async fn can_run_a_simple_query() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    assert_eq!(rows(&client, "select 1").await.unwrap(), ["select 1"]);
    let run = bench.shared.runs().pop().unwrap();
    assert_eq!((run.service.as_str(), run.group.as_str()), ("web", "booking"));
    assert_eq!(run.class(), Class::Write);
    assert!(run.fresh && run.floor.is_none());
    assert_eq!(run.version, 7);
}

#[tokio::test]
async fn can_run_extended_queries_on_one_shared_connection() {
    let bench = bench(None).await;
    let (first, second) = (bench.connect().await, bench.connect().await);
    let one = first.prepare("select one").await.unwrap();
    let two = second.prepare("select two").await.unwrap();
    let other = second.prepare("select other").await.unwrap();
    for _ in 0..3 {
        assert_eq!(first.query(&one, &[]).await.unwrap()[0].get::<_, &str>(0), "select one");
        assert_eq!(second.query(&two, &[]).await.unwrap()[0].get::<_, &str>(0), "select two");
        let (a, b) = tokio::join!(second.query(&other, &[]), second.query(&two, &[]));
        assert_eq!(a.unwrap()[0].get::<_, &str>(0), "select other");
        assert_eq!(b.unwrap()[0].get::<_, &str>(0), "select two");
    }
}

#[tokio::test]
async fn recovers_at_sync_after_an_error() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    let fail = client.prepare("fail later").await.unwrap();
    assert_eq!(code(client.query(&fail, &[]).await), "22023");
    assert_eq!(code(client.prepare("bad").await), "22023");
    assert_eq!(rows(&client, "select 1").await.unwrap(), ["select 1"]);
}

#[tokio::test]
async fn can_run_a_transaction_at_one_keeper() {
    let bench = bench(None).await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    let statement = transaction.prepare("select 1").await.unwrap();
    transaction.query(&statement, &[]).await.unwrap();
    transaction.commit().await.unwrap();
    let runs = bench.shared.runs();
    assert_eq!(
        runs.iter().map(|run| run.in_transaction).collect::<Vec<_>>(),
        [false, true, true, true]
    );
    assert!(runs.iter().all(|run| run.caller == runs[0].caller));
    assert!(runs[3].commits && !runs[2].commits);
}

#[tokio::test]
async fn reads_of_a_declared_kind_carry_the_floor() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    rows(&client, "update t").await.unwrap();
    rows(&client, "SELECT  seat from map").await.unwrap();
    rows(&client, "select x /*kind='seat-map'*/").await.unwrap();
    rows(&client, "select seat from map; delete from map").await.unwrap();
    let runs = bench.shared.runs();
    assert_eq!((runs[1].class(), runs[1].floor.unwrap().position), (Class::Read, 1));
    assert_eq!(runs[2].class(), Class::Read);
    assert_eq!(runs[3].class(), Class::Write);
}

#[tokio::test]
async fn a_session_token_is_valid_at_another_entry() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    rows(&client, "update t").await.unwrap();
    let token = rows(&client, "SHOW trefoil.session").await.unwrap().remove(0);
    let elsewhere = fake::bench(None).await;
    let other = elsewhere.connect().await;
    rows(&other, &format!("SET trefoil.session = '{token}'")).await.unwrap();
    rows(&other, "select 1").await.unwrap();
    let run = elsewhere.shared.runs().pop().unwrap();
    assert_eq!(run.floor.unwrap().position, 1);
    assert!(!run.fresh);
    let mut config = elsewhere.config();
    config.options(format!("-c trefoil.session={token}"));
    let third = connect(&config).await.unwrap();
    rows(&third, "select 1").await.unwrap();
    assert!(elsewhere.shared.runs().pop().unwrap().floor.is_some());
    config.user("desk");
    assert_eq!(code(connect(&config).await), "TF003");
    assert_eq!(code(other.simple_query("SET trefoil.session = 'forged'").await), "TF003");
}

#[tokio::test]
async fn only_a_request_proved_not_run_is_retried_at_the_other_keeper() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    for reason in [Reason::WrongKeeper, Reason::Closing, Reason::Unavailable] {
        bench.shared.inject(Fault::NotRun(reason));
        assert_eq!(rows(&client, "update t").await.unwrap(), ["update t"]);
    }
    bench.shared.inject(Fault::NotRun(Reason::QueueFull));
    let error = client.simple_query("update t").await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!((error.code().code(), error.hint()), ("TF001", Some("retry after 70 ms")));
    bench.shared.inject(Fault::Unknown(Reason::Replaced));
    assert_eq!(code(client.simple_query("update t").await), "TF002");
    let before = bench.shared.runs().len();
    bench.shared.inject(Fault::Break);
    assert_eq!(code(client.simple_query("update t").await), "TF002");
    assert_eq!(bench.shared.runs().len(), before + 1);
    bench.shared.inject(Fault::Repeat);
    assert_eq!(code(client.simple_query("update t").await), "TF002");
    assert_eq!(rows(&client, "update t").await.unwrap(), ["update t"]);
}

#[tokio::test]
async fn a_keeper_that_does_not_answer_is_skipped() {
    let shared = std::sync::Arc::default();
    // accepts connections and never answers the handshake
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    let other = fake::keeper("two", std::sync::Arc::clone(&shared)).await;
    let keepers = [("one", address), ("two", other)];
    let bench = fake::bench_with(None, Duration::from_mins(10), shared, &keepers).await;
    // a hash of its session number decides which keeper a caller tries first
    for _ in 0..4 {
        let client = bench.connect().await;
        assert_eq!(rows(&client, "update t").await.unwrap(), ["update t"]);
    }
}

#[tokio::test]
async fn a_stopping_keeper_gets_no_new_request_after_its_shutdown_message() {
    let shared = [(); 2].map(|()| std::sync::Arc::new(fake::Shared::default()));
    let first = fake::keeper("one", std::sync::Arc::clone(&shared[0])).await;
    let second = fake::keeper("two", std::sync::Arc::clone(&shared[1])).await;
    let keepers = [("one", first), ("two", second)];
    let (lease, unused) = (Duration::from_mins(10), std::sync::Arc::default());
    let bench = fake::bench_with(None, lease, unused, &keepers).await;
    let (client, open) = (bench.connect().await, bench.connect().await);
    rows(&client, "update t").await.unwrap();
    let stopping = usize::from(shared[0].runs().is_empty());
    open.simple_query("BEGIN").await.unwrap();
    let within = !shared[stopping].pinned.lock().unwrap().is_empty();
    shared[stopping].inject(Fault::Closing);
    rows(&client, "update t").await.unwrap();
    for _ in 0..20 {
        rows(&client, "update t").await.unwrap();
    }
    open.simple_query("COMMIT").await.unwrap();
    let asks = shared[stopping].asks.lock().unwrap();
    let shutdown = asks.iter().position(|body| matches!(body, ask::Body::Shutdown(_)));
    let later = asks[shutdown.expect("a shutdown")..].iter();
    let runs =
        later.filter(|body| matches!(body, ask::Body::Run(run) if !run.in_transaction)).count();
    assert_eq!(runs, 0);
    let commits = |body: &&ask::Body| matches!(body, ask::Body::Run(run) if run.commits);
    assert_eq!(asks.iter().filter(commits).count(), usize::from(within));
}

#[tokio::test]
async fn a_declared_read_is_tried_again_when_its_link_breaks() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.shared.inject(Fault::Break);
    assert_eq!(rows(&client, "select seat").await.unwrap(), ["select seat"]);
    let repeats: Vec<_> = bench.shared.runs().iter().map(|run| run.repeats).collect();
    assert_eq!(repeats, [false, true], "only the second counts against the retry budget");
}

#[tokio::test]
async fn a_declared_read_leaves_an_unresponsive_keeper_long_before_its_deadline() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.shared.inject(Fault::Freeze);
    let read = rows(&client, "select seat");
    let limit = Duration::from_millis(2_500);
    let answered = tokio::time::timeout(limit, read).await.expect("before the deadline of 3 s");
    assert_eq!(answered.unwrap(), ["select seat"]);
    assert_eq!(bench.shared.runs().len(), 2);
}

#[tokio::test]
async fn a_late_read_stays_at_a_keeper_that_answers_pings() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.shared.inject(Fault::Late(Duration::from_secs(1)));
    assert_eq!(rows(&client, "select seat").await.unwrap(), ["select seat"]);
    assert_eq!(bench.shared.runs().len(), 1);
}

#[tokio::test]
async fn a_transaction_whose_keeper_is_lost_stays_failed_to_its_end() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    bench.shared.inject(Fault::Break);
    assert_eq!(code(client.simple_query("update t").await), "TF001");
    let before = bench.shared.runs().len();
    assert_eq!(code(client.simple_query("update t").await), "25P02");
    client.simple_query("COMMIT").await.unwrap();
    assert_eq!(bench.shared.runs().len(), before);
    client.simple_query("BEGIN").await.unwrap();
    bench.shared.inject(Fault::Break);
    assert_eq!(code(client.simple_query("COMMIT").await), "TF002");
    assert_eq!(rows(&client, "update t").await.unwrap(), ["update t"]);
}

#[tokio::test]
async fn a_refused_feature_fails_its_transaction() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    assert_eq!(code(client.simple_query("LISTEN x").await), "TF004");
    assert_eq!(code(client.simple_query("SET timezone = 'Europe/Budapest'").await), "TF004");
    client.simple_query("BEGIN").await.unwrap();
    assert_eq!(code(client.simple_query("LISTEN x").await), "TF004");
    assert_eq!(code(client.simple_query("update t").await), "25P02");
    client.simple_query("ROLLBACK").await.unwrap();
    let asks = bench.shared.asks.lock().unwrap();
    assert!(asks.iter().any(|body| matches!(body, ask::Body::Leave(_))));
}

#[tokio::test]
async fn answers_statements_about_the_session_itself() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    client
        .batch_execute("SET extra_float_digits = 3; SET client_encoding TO 'UTF8'")
        .await
        .unwrap();
    assert_eq!(rows(&client, "SHOW timezone").await.unwrap(), ["UTC"]);
    let statement = client.prepare("SHOW trefoil.session").await.unwrap();
    let row = client.query_one(&statement, &[]).await.unwrap();
    assert!(row.get::<_, &str>(0).len() > 20);
    client.batch_execute("DISCARD ALL").await.unwrap();
    assert!(bench.shared.runs().is_empty());
}

#[tokio::test]
async fn refuses_logins_that_are_wrong() {
    let verifier = pg::scram::Verifier::new("right", &[7; 16]);
    let bench = bench(Some(&format!("web:{verifier}\n"))).await;
    let mut config = bench.config();
    config.password("right");
    connect(&config).await.unwrap();
    assert_eq!(code(connect(config.clone().password("wrong")).await), "28P01");
    assert_eq!(code(connect(config.clone().user("nobody")).await), "28P01");
    assert_eq!(code(connect(config.clone().dbname("nowhere")).await), "3D000");
    assert_eq!(code(connect(config.clone().dbname("closed")).await), "28000");
    let open = fake::bench(None).await;
    assert_eq!(code(connect(open.config().user("nobody")).await), "28000");
    assert_eq!(code(connect(open.config().options("-c timezone=CET")).await), "TF004");
}

#[tokio::test]
async fn can_cancel_its_own_statement_only() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.shared.inject(Fault::Late(Duration::from_millis(300)));
    let token = client.cancel_token();
    let query = client.simple_query("update t");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (answer, ()) = tokio::join!(query, cancel);
    answer.unwrap();
    let asks = bench.shared.asks.lock().unwrap();
    let cancelled = |body: &ask::Body| matches!(body, ask::Body::Cancel(c) if c.request == 1);
    assert!(asks.iter().any(cancelled));
}

#[tokio::test]
async fn large_answers_are_granted_credit() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.shared.inject(Fault::Large(200 << 10));
    assert_eq!(rows(&client, "select all").await.unwrap().len(), 203);
    let asks = bench.shared.asks.lock().unwrap();
    assert!(asks.iter().any(|body| matches!(body, ask::Body::Credit(_))));
}

/// Runs statements against keepers with random faults. The outcome that the caller
/// gets must agree with how often the statement ran: never if it was reported as not
/// run, once if a write succeeded, and at most once if the outcome of a write is
/// unknown. A read may run several times.
#[tokio::test]
async fn the_reported_outcome_matches_what_ran() {
    let schedules = std::env::var("TREFOIL_FUZZ_SCHEDULES");
    let schedules: u64 = schedules.map_or(100, |text| text.parse().unwrap());
    let bench = bench(None).await;
    let client = bench.connect().await;
    for seed in 0..schedules {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let faults = [
            None,
            Some(Fault::Break),
            Some(Fault::RunAndBreak),
            Some(Fault::Repeat),
            Some(Fault::NotRun(Reason::Closing)),
            Some(Fault::NotRun(Reason::WrongKeeper)),
            Some(Fault::NotRun(Reason::Deadline)),
            Some(Fault::Unknown(Reason::Replaced)),
        ];
        let drawn: Vec<_> = (0..3).map(|_| faults[random.random_range(0..faults.len())]).collect();
        let drawn: Vec<_> = drawn.into_iter().map_while(|fault| fault).collect();
        *bench.shared.faults.lock().unwrap() = drawn.iter().copied().collect();
        let read = random.random_bool(0.3);
        let text = format!("{} {seed}", if read { "select seat" } else { "update t" });
        let result = client.simple_query(&text).await;
        let payload = bytes::Bytes::from(
            [b"Q", &(text.len() as u32 + 5).to_be_bytes()[..], text.as_bytes(), b"\0"].concat(),
        );
        let ran =
            bench.shared.run_counts.lock().unwrap().get(&payload).copied().unwrap_or_default();
        match result.map_err(|error| error.code().unwrap().code().to_owned()) {
            Ok(_) => assert!(ran == 1 || (read && ran > 0), "seed {seed}: {drawn:?}"),
            Err(code) if code == "TF001" => assert_eq!(ran, 0, "seed {seed}: {drawn:?}"),
            Err(code) => {
                assert_eq!(code, "TF002", "seed {seed}: {drawn:?}");
                assert!(ran <= 1 || read, "seed {seed}: {drawn:?}");
            }
        }
    }
}

async fn answer_to(address: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    drop(
        tokio::time::timeout(Duration::from_secs(5), read)
            .await
            .expect("the front closes the connection"),
    );
    answer
}

#[tokio::test]
async fn can_talk_over_tls() {
    use rustls::pki_types::pem::PemObject;
    let bench = bench(None).await;
    let mut stream = TcpStream::connect(bench.address).await.unwrap();
    stream.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'S');
    let mut roots = rustls::RootCertStore::empty();
    let cert = rustls::pki_types::CertificateDer::from_pem_file(fake::tls().cert).unwrap();
    roots.add(cert).unwrap();
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(std::sync::Arc::new(config));
    let own = rustls::pki_types::ServerName::try_from("127.0.0.1").unwrap();
    let mut stream = connector.connect(own, stream).await.unwrap();
    let query = b"Q\0\0\0\x0dselect 1\0X\0\0\0\x04";
    stream.write_all(&[startup().as_slice(), query].concat()).await.unwrap();
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    assert!(contains(&answer, "select 1") && answer.ends_with(b"Z\0\0\0\x05I"));
}

#[tokio::test]
async fn bytes_before_the_tls_handshake_end_the_connection() {
    let bench = bench(None).await;
    let early = [b"\0\0\0\x08\x04\xd2\x16\x2f".as_slice(), &startup()].concat();
    assert!(answer_to(bench.address, &early).await.is_empty());
}

fn contains(answer: &[u8], text: &str) -> bool {
    answer.windows(text.len()).any(|window| window == text.as_bytes())
}

#[tokio::test]
async fn garbage_ends_in_an_error() {
    let bench = bench(None).await;
    assert!(contains(&answer_to(bench.address, b"GET / HTTP/1.1\r\n\r\n").await, "08P01"));
    let oversized = [&0x7fff_ffff_u32.to_be_bytes()[..], b"\0\x03\0\0"].concat();
    assert!(contains(&answer_to(bench.address, &oversized).await, "08P01"));
    for message in [
        &b"Q\x7f\0\0\0"[..],
        b"Z\0\0\0\x04",
        b"Q\0\0\0\x03",
        b"P\0\0\0\x05\0",
        b"Q\0\0\0\x06\xff\0",
    ] {
        let answer = answer_to(bench.address, &[startup().as_slice(), message].concat()).await;
        assert!(contains(&answer, "08P01") || contains(&answer, "22021"), "{message:?}");
    }
    let client = bench.connect().await;
    assert_eq!(rows(&client, "select 1").await.unwrap(), ["select 1"]);
}

#[tokio::test]
async fn incomplete_startup_packets_do_not_block_other_callers() {
    let bench = bench(None).await;
    let mut open = Vec::new();
    for length in [0, 1, 4, 8, 20] {
        let mut stream = TcpStream::connect(bench.address).await.unwrap();
        stream.write_all(&startup()[..length]).await.unwrap();
        open.push(stream);
    }
    let client = bench.connect().await;
    assert_eq!(rows(&client, "select 1").await.unwrap(), ["select 1"]);
}

#[tokio::test]
async fn pipelined_messages_are_answered_in_order() {
    let bench = bench(None).await;
    let mut bytes = startup();
    for text in ["one", "two", "three"] {
        let length = (text.len() as u32 + 5).to_be_bytes();
        bytes.extend_from_slice(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat());
    }
    // the statement runs outside a transaction, so a Flush before its Sync is refused
    bytes.extend_from_slice(&[&statement("four"), FLUSH, SYNC].concat());
    bytes.extend_from_slice(TERMINATE);
    let answer = answer_to(bench.address, &bytes).await;
    let at = |text: &str| answer.windows(text.len()).position(|w| w == text.as_bytes());
    assert!(at("one") < at("two") && at("two") < at("three") && at("three") < at("TF004"));
    assert!(answer.ends_with(b"Z\0\0\0\x05I"));
    assert_eq!(bench.shared.runs().len(), 3);
}

#[tokio::test]
async fn a_planned_stop_disconnects_no_active_caller() {
    let bench = bench(None).await;
    let (idle, busy, open) = (bench.connect().await, bench.connect().await, bench.connect().await);
    rows(&idle, "select 1").await.unwrap();
    open.simple_query("BEGIN").await.unwrap();
    bench.shared.inject(Fault::Late(Duration::from_millis(200)));
    let running = busy.simple_query("update t");
    let ending = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        open.simple_query("update t").await.unwrap();
        open.simple_query("COMMIT").await.unwrap();
    };
    let close = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        bench.front.close(Duration::from_secs(10), Duration::ZERO).await
    };
    let (answer, (), disconnected) = tokio::join!(running, ending, close);
    answer.unwrap();
    assert_eq!(disconnected, 0);
    assert!(idle.is_closed() && open.is_closed());
    assert!(connect(&bench.config()).await.is_err());
}

/// At the end of the time for open transactions, statements that a server was running were cut
/// off without an answer.
#[tokio::test]
async fn a_statement_that_runs_when_the_time_for_transactions_ends_gets_its_rows() {
    let bench = bench(None).await;
    let open = bench.connect().await;
    open.simple_query("BEGIN").await.unwrap();
    open.simple_query("update t").await.unwrap();
    bench.shared.inject(Fault::Late(Duration::from_millis(400)));
    let limits = (Duration::from_millis(100), Duration::from_secs(10));
    let close = bench.front.close(limits.0, limits.1);
    let (answer, _) = tokio::join!(open.simple_query("update t"), close);
    answer.expect("the answer of the statement that ran");
    assert!(open.simple_query("COMMIT").await.is_err(), "the transaction was ended");
}

#[tokio::test]
async fn an_entry_without_a_lease_takes_no_callers() {
    let bench = fake::bench_with(None, Duration::ZERO, std::sync::Arc::default(), &[]).await;
    assert_eq!(code(connect(&bench.config()).await), "57P03");
}

#[tokio::test]
async fn an_entry_that_is_cut_off_from_control_disconnects_only_idle_callers() {
    let shared = std::sync::Arc::default();
    let keeper = fake::keeper("one", std::sync::Arc::clone(&shared)).await;
    let lease = Duration::from_secs(2);
    let bench = fake::bench_with(None, lease, shared, &[("one", keeper)]).await;
    let (idle, open) = (bench.connect().await, bench.connect().await);
    rows(&idle, "select 1").await.unwrap();
    open.simple_query("BEGIN").await.unwrap();
    let idle_closed = async {
        while !idle.is_closed() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), idle_closed)
        .await
        .expect("the idle caller is disconnected");
    assert_eq!(code(connect(&bench.config()).await), "57P03");
    open.simple_query("COMMIT").await.unwrap();
    // with a new lease the entry accepts callers again
    bench.view.extend_lease(Instant::from_millis(u64::from(u32::MAX)));
    let client = bench.connect().await;
    assert_eq!(rows(&client, "select 1").await.unwrap(), ["select 1"]);
}

/// Guards against callers that wait for their deadline at an entry that is cut off from
/// control and from the keepers, although its lease has not expired yet.
#[tokio::test]
async fn an_entry_that_is_probably_cut_off_refuses_at_once() {
    let shared = std::sync::Arc::default();
    let keeper = fake::keeper("one", std::sync::Arc::clone(&shared)).await;
    // control confirmed no heartbeat lately: most of the lease has passed
    let lease = Duration::from_millis(650);
    let bench = fake::bench_with(None, lease, shared, &[("one", keeper)]).await;
    let view = bench.view.clone();
    let keep_lease = async move {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            view.extend_lease(view.lease_until() + Duration::from_millis(100));
        }
    };
    let keep_lease = tokio::spawn(keep_lease);
    let (first, second) = (bench.connect().await, bench.connect().await);
    bench.shared.inject(Fault::Freeze);
    let waiting = tokio::spawn(async move { first.simple_query("update t").await });
    // the link counts as silent after this time
    tokio::time::sleep(Duration::from_millis(600)).await;
    let limit = Duration::from_millis(1_500);
    let refused = tokio::time::timeout(limit, second.simple_query("update t")).await;
    assert_eq!(code(refused.expect("before the deadline of 3 s")), "TF001");
    keep_lease.abort();
    waiting.abort();
}

#[tokio::test]
async fn a_group_without_a_keeper_runs_nothing() {
    let bench = bench(None).await;
    let client = bench.connect().await;
    bench.view.write(|state| state.groups.clear());
    let error = client.simple_query("update t").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "TF001");
    assert!(bench.shared.runs().is_empty());
}
