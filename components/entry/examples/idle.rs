//! Measures the memory that a front uses for each idle caller, after each caller
//! has run one statement.
//!
//! The callers' sockets belong to the same process, so their memory is included.
//! The argument is the number of callers.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

#[path = "../tests/fake/mod.rs"]
mod fake;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DEFAULT_CALLERS: usize = 10_000;

/// Startup message for service `web` and group `booking`, and one statement.
const START_AND_QUERY: &[u8] =
    b"\0\0\0\x23\0\x03\0\0user\0web\0database\0booking\0\0Q\0\0\0\x0dselect 1\0";

/// ReadyForQuery, which ends the answer to a query cycle.
const READY: &[u8] = b"Z\0\0\0\x05I";

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}

async fn call(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the front listens");
    stream.write_all(START_AND_QUERY).await.expect("the front reads");
    let mut answer = Vec::new();
    let count_ready = |answer: &[u8]| answer.windows(READY.len()).filter(|w| *w == READY).count();
    while count_ready(&answer) < 2 {
        let read = stream.read_buf(&mut answer).await.expect("the front answers");
        assert!(read > 0, "the front closed: {}", String::from_utf8_lossy(&answer));
    }
    stream
}

#[tokio::main]
async fn main() {
    let callers = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let callers = callers.unwrap_or(DEFAULT_CALLERS);
    let bench = fake::bench(None).await;
    drop(call(bench.address).await);
    let before = resident_kib();
    let mut streams = Vec::with_capacity(callers);
    for _ in 0..callers {
        streams.push(call(bench.address).await);
    }
    let after = resident_kib();
    let each = (after - before) * 1_024 / callers.max(1) as u64;
    println!("{callers} callers: {before} KiB before, {after} KiB after, {each} bytes each");
    let started = std::time::Instant::now();
    drop(call(bench.address).await);
    println!("served one more caller in {} us", started.elapsed().as_micros());
}
