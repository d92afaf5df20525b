//! The overload phase: more callers than a group can serve, to measure how its
//! capacity is shared between services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;

use crate::client::{self, Answer};
use crate::scenario::OWN_READ_KIND;
use crate::shared::Shared;

const GROUP: usize = 0;
const CALLERS_STEP: usize = 24;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Overloads a group for `length` and returns the number of successful statements by
/// service. The first service has `CALLERS_STEP` callers, and each further service
/// has `CALLERS_STEP` callers more than the service before.
pub async fn run(shared: &Arc<Shared>, length: Duration) -> BTreeMap<String, u64> {
    let services = shared.scenario.services();
    let counts = services.map(|_| Arc::new(AtomicU64::new(0)));
    let mut callers = tokio::task::JoinSet::new();
    for (index, service) in services.into_iter().enumerate() {
        for number in 0..CALLERS_STEP * (index + 1) {
            let (shared, count) = (Arc::clone(shared), Arc::clone(&counts[index]));
            callers.spawn(async move { flood(&shared, service, number, &count).await });
        }
    }
    tokio::time::sleep(length).await;
    let totals = counts.iter().map(|count| count.load(Ordering::Relaxed));
    let answers = services.iter().map(|&service| service.to_owned()).zip(totals).collect();
    callers.shutdown().await;
    answers
}

async fn flood(shared: &Shared, service: &str, number: usize, count: &AtomicU64) {
    let group = shared.scenario.group(GROUP);
    let query = format!("/*kind='{OWN_READ_KIND}'*/ SELECT value FROM counters WHERE session = 0");
    loop {
        let address = shared.address(GROUP, number);
        let Some(connection) = client::connect(address, service, &group, None).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        while !connection.is_closed() {
            match connection.query(&query).await {
                Answer::Done(_) => drop(count.fetch_add(1, Ordering::Relaxed)),
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}

/// Jain's fairness index: 1 when all shares are equal, 1/n when one of n services
/// has everything.
pub fn jain_index(shares: &BTreeMap<String, u64>) -> f64 {
    let sum: f64 = shares.values().map(|share| *share as f64).sum();
    let squares: f64 = shares.values().map(|share| (*share as f64).powi(2)).sum();
    if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
}
