//! A steady writer for each group, which dates what reads show.
//!
//! It sets one row to ever higher values and notes when each was acknowledged.
//! A read that accepts an age must show what was acknowledged that long ago.

use std::sync::Arc;

use base::prelude::*;

use crate::client::{self, Answer};
use crate::scenario::IDEMPOTENT_KIND;
use crate::shared::Shared;

const PERIOD: Duration = Duration::from_millis(40);
const RETRY: Duration = Duration::from_millis(10);

/// Writes until the run stops.
pub async fn run(shared: Arc<Shared>, group: usize) {
    let name = shared.scenario.group(group);
    let service = shared.scenario.services()[0];
    let mut entry = group;
    let mut value = 0;
    while !shared.is_stopped() {
        let address = shared.address(group, entry);
        entry += 1;
        let Some(connection) = client::connect(address, service, &name, None).await else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        while !connection.is_closed() && !shared.is_stopped() {
            value += 1;
            let tag = format!("/*kind='{IDEMPOTENT_KIND}'*/");
            let query = format!("{tag} UPDATE pulse SET value = {value} WHERE id = 1");
            if !matches!(connection.query(&query).await, Answer::Done(_)) {
                tokio::time::sleep(RETRY).await;
                break;
            }
            shared.record_value(group, value);
            tokio::time::sleep(PERIOD).await;
        }
    }
}
