//! More callers than a group can serve, to see how services share it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;

use crate::client::{self, Answer};
use crate::scenario::OWN_READ_KIND;
use crate::shared::Shared;

const GROUP: usize = 0;
const CALLERS: usize = 24;
const RETRY: Duration = Duration::from_millis(50);

/// Floods a group for a time; the first service has the fewest callers, each
/// later one as many more. Gives the answers that each service got.
pub async fn run(shared: &Arc<Shared>, length: Duration) -> BTreeMap<String, u64> {
    let services = shared.scenario.services();
    let counts = services.map(|_| Arc::new(AtomicU64::new(0)));
    let mut callers = tokio::task::JoinSet::new();
    for (index, service) in services.into_iter().enumerate() {
        for number in 0..CALLERS * (index + 1) {
            let (shared, count) = (Arc::clone(shared), Arc::clone(&counts[index]));
            callers.spawn(async move { flood(&shared, service, number, &count).await });
        }
    }
    tokio::time::sleep(length).await;
    let counted = counts.iter().map(|count| count.load(Ordering::Relaxed));
    let answered = services.iter().map(|&service| service.to_owned()).zip(counted).collect();
    callers.shutdown().await;
    answered
}

async fn flood(shared: &Shared, service: &str, number: usize, count: &AtomicU64) {
    let group = shared.scenario.group(GROUP);
    let query = format!("/*kind='{OWN_READ_KIND}'*/ SELECT value FROM counters WHERE session = 0");
    loop {
        let address = shared.address(GROUP, number);
        let Some(connection) = client::connect(address, service, &group, None).await else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        while !connection.is_closed() {
            match connection.query(&query).await {
                Answer::Done(_) => drop(count.fetch_add(1, Ordering::Relaxed)),
                _ => tokio::time::sleep(RETRY).await,
            }
        }
    }
}

/// Jain's index of shares: 1 when all are alike, 1/n when one has all.
pub fn jain_index(shares: &BTreeMap<String, u64>) -> f64 {
    let sum: f64 = shares.values().map(|share| *share as f64).sum();
    let squares: f64 = shares.values().map(|share| (*share as f64).powi(2)).sum();
    if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
}
