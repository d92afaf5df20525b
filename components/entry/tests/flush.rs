//! Answers that a caller asks for before its cycle ends.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use fake::bench;
use fake::raw::{Client, EXECUTE, FLUSH, SYNC, bind, describe, message, parse, statement};

#[tokio::test]
async fn a_driver_that_looks_at_a_statement_before_it_binds_is_answered() {
    let bench = bench(None).await;
    let mut raw = Client::connect(bench.address).await;
    for _ in 0..2 {
        let looked: [&[u8]; 3] = [&parse("", "select 1"), &describe(""), FLUSH];
        assert_eq!(raw.exchange(&looked, 3).await, "1tT");
        assert_eq!(raw.exchange(&[&bind(""), EXECUTE, SYNC], 4).await, "2DCZ");
    }
    assert_eq!(raw.exchange(&[&parse("", "bad"), &describe(""), FLUSH], 1).await, "E");
    assert_eq!(raw.exchange(&[&bind(""), EXECUTE, SYNC], 1).await, "Z");
    assert_eq!(raw.exchange(&[FLUSH, SYNC], 1).await, "Z");
}

#[tokio::test]
async fn a_pipeline_within_a_transaction_is_answered_at_each_flush() {
    let bench = bench(None).await;
    let mut raw = Client::connect(bench.address).await;
    let begin = statement("BEGIN");
    let insert = statement("update t");
    assert_eq!(raw.exchange(&[&begin, &insert, FLUSH], 7).await, "12C12DC");
    assert_eq!(raw.exchange(&[&insert, FLUSH], 4).await, "12DC");
    let commit = statement("COMMIT");
    assert_eq!(raw.exchange(&[&commit, SYNC], 4).await, "12CZ");
    let runs = bench.shared.runs();
    assert_eq!(runs.iter().map(|run| run.within).collect::<Vec<_>>(), [false, true, true]);
}

#[tokio::test]
async fn a_query_is_answered_whatever_was_flushed_or_left_open_before() {
    let bench = bench(None).await;
    let mut raw = Client::connect(bench.address).await;
    let query = message(b'Q', b"select 1\0");
    // as psycopg ends a pipeline
    let insert = statement("update t");
    assert_eq!(raw.exchange(&[&insert, SYNC, FLUSH], 5).await, "12DCZ");
    assert_eq!(raw.exchange(&[&query], 4).await, "TDCZ");
    assert_eq!(raw.exchange(&[&insert, &query], 2).await, "EZ");
    // as asyncpg ends a transaction whose arguments it could not encode
    assert_eq!(raw.exchange(&[&parse("", "select 1"), FLUSH, &query], 5).await, "1TDCZ");
    assert_eq!(raw.exchange(&[&query], 4).await, "TDCZ");
}

#[tokio::test]
async fn a_part_that_fails_passes_over_the_rest_of_its_cycle() {
    let bench = bench(None).await;
    let mut raw = Client::connect(bench.address).await;
    let begin = statement("BEGIN");
    let fail = statement("fail");
    assert_eq!(raw.exchange(&[&begin, &fail, FLUSH], 6).await, "12C12E");
    let runs = bench.shared.runs().len();
    assert_eq!(raw.exchange(&[&begin, FLUSH, &begin, SYNC], 1).await, "Z");
    assert_eq!(bench.shared.runs().len(), runs);
}
