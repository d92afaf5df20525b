//! `drain`: drains an entry, which then holds no leases and accepts no callers,
//! or puts the entry back into use.

use error_stack::Report;

use crate::client::{Client, Drain};
use crate::failure::Failure;

/// Drains `entry` if `on` is true, and puts `entry` back into use otherwise.
pub async fn run(client: &Client, entry: String, on: bool) -> Result<(), Report<Failure>> {
    let drain = Drain { entry, on };
    client.post_idempotent("/v1/drain", &drain).await?;
    println!("{} is {}", drain.entry, if on { "being drained" } else { "in use" });
    Ok(())
}
