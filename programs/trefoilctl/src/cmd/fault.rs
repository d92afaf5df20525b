//! `fault`: injects a fault into a stand-in group.

use error_stack::Report;

use crate::client::{Client, Fault};
use crate::failure::Failure;

/// Injects `fault`, with its argument if the fault takes one, into `group`.
pub async fn run(client: &Client, group: String, fault: String) -> Result<(), Report<Failure>> {
    let fault = Fault { group, fault };
    client.post_idempotent("/v1/fault", &fault).await?;
    println!("{}: {}", fault.group, fault.fault);
    Ok(())
}
