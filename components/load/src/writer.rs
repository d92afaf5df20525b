//! A steady writer for each group, from which the age of read data is checked.
//!
//! The writer sets one row to increasing values and records when each value was
//! acknowledged. A read that accepts data of some age must return at least the
//! value that was acknowledged that long before the read began.

use std::sync::Arc;

use base::prelude::*;

use crate::client::{self, Answer};
use crate::scenario::IDEMPOTENT_KIND;
use crate::shared::Shared;

const WRITE_INTERVAL: Duration = Duration::from_millis(40);
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Writes to one group until the run stops; connects to the next entry after each
/// failure.
pub async fn run(shared: Arc<Shared>, group: usize) {
    let name = shared.scenario.group(group);
    let service = shared.scenario.services()[0];
    let mut entry = group;
    let mut value = 0;
    while !shared.is_stopped() {
        let address = shared.address(group, entry);
        entry += 1;
        let Some(connection) = client::connect(address, service, &name, None).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        while !connection.is_closed() && !shared.is_stopped() {
            value += 1;
            let tag = format!("/*kind='{IDEMPOTENT_KIND}'*/");
            let query = format!("{tag} UPDATE pulse SET value = {value} WHERE id = 1");
            if !matches!(connection.query(&query).await, Answer::Done(_)) {
                tokio::time::sleep(RETRY_DELAY).await;
                break;
            }
            shared.record_value(group, value);
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
    }
}
