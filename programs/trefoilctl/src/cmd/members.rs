//! `members`: shows or changes the members of the control quorum.

use error_stack::Report;

use crate::cli;
use crate::client::{Client, Membership};
use crate::failure::Failure;
use crate::screen;

/// Makes the given change, or prints the members if `change` is `None`.
pub async fn run(client: &Client, change: Option<cli::Membership>) -> Result<(), Report<Failure>> {
    let change = match change {
        None => {
            println!("{}", screen::render_members(&client.fetch_status().await?));
            return Ok(());
        }
        Some(cli::Membership::Add { link, web, name }) => Membership::Add { name, link, web },
        Some(cli::Membership::Remove { name }) => Membership::Remove { name },
    };
    client.post_idempotent("/v1/members", &change).await?;
    println!("done");
    Ok(())
}
