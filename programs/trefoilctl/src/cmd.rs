//! Commands, one module each.

mod apply;
mod burn;
mod diff;
mod drain;
mod fault;
mod get;
mod members;
mod path;
mod status;

use error_stack::Report;

use crate::cli::{Command, Options};
use crate::client::Client;
use crate::failure::Failure;

/// Runs the command given in `options`.
pub async fn run(options: Options) -> Result<(), Report<Failure>> {
    let admin: Vec<_> = options.admin.into_iter().flat_map(|addresses| addresses.0).collect();
    let client = || Client::new(admin.clone());
    match options.command {
        Command::Apply { files, wait, change, base } => {
            apply::run(&client()?, &files, apply::Options { wait, change, base }).await
        }
        Command::Diff { files } => diff::run(&client()?, &files).await,
        Command::Get => get::run(&client()?).await,
        Command::Status { json, watch } => status::run(&client()?, json, watch).await,
        Command::Burn { json, check, html } => {
            burn::run(&client()?, burn::Options { json, check, html }).await
        }
        Command::Members { change } => members::run(&client()?, change).await,
        Command::Drain { off, entry } => drain::run(&client()?, entry, !off).await,
        Command::Fault { group, fault } => fault::run(&client()?, group, fault).await,
        Command::Path { request, files } => path::run(&request, &files),
    }
}
