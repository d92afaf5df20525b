//! `get`: shows the declarations in force.

use error_stack::{Report, ResultExt};

use crate::client::Client;
use crate::failure::Failure;

/// Prints the declarations in force to standard output and their version to
/// standard error.
pub async fn run(client: &Client) -> Result<(), Report<Failure>> {
    let current = client.fetch_config().await?;
    let content: serde_json::Value =
        serde_json::from_str(&current.content).change_context(Failure::MalformedAnswer)?;
    eprintln!("version {}", current.version);
    println!("{content:#}");
    Ok(())
}
