//! `apply`: puts the declarations of a directory in force.

use std::path::Path;
use std::time::{Duration, Instant};

use config::Declarations;
use error_stack::Report;

use crate::client::{Accepted, Change, Client};
use crate::failure::Failure;

/// Longest wait until all entries have applied the change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two status requests while waiting for the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `apply`.
#[derive(Debug)]
pub struct Options {
    /// Whether to wait until all entries have applied the change.
    pub wait: bool,
    /// Id of the change; random by default.
    pub change: Option<String>,
    /// Version that the change is based on; the current one by default.
    pub base: Option<u64>,
}

/// Applies the declarations in the directory `files` and, if `options.wait` is
/// set, waits until all entries have applied them.
pub async fn run(client: &Client, files: &Path, options: Options) -> Result<(), Report<Failure>> {
    let declarations = config::files::read(files)
        .map_err(|problems| Report::new(Failure::Declarations(problems)))?;
    let content = declarations.canonical();
    let current = match options.base {
        Some(_) => None,
        None => Some(client.fetch_config().await?),
    };
    let is_unchanged = current.as_ref().is_some_and(|current| {
        Declarations::parse(&current.content).is_ok_and(|current| current == declarations)
    });
    if is_unchanged && options.change.is_none() {
        println!("nothing to change: these declarations are in force");
        return Ok(());
    }
    let base = options.base.or(current.map(|current| current.version)).unwrap_or_default();
    let id = options.change.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let change = Change { id, base, content };
    let answer = client.submit(&change).await;
    let accepted = answer.inspect_err(|report| {
        if matches!(report.current_context(), Failure::Unreachable { .. }) {
            eprintln!("retry with: --change {} --base {base}", change.id);
        }
    })?;
    println!("version {} is accepted", accepted.version);
    if options.wait { wait_for_entries(client, accepted).await } else { Ok(()) }
}

async fn wait_for_entries(client: &Client, accepted: Accepted) -> Result<(), Report<Failure>> {
    let start = Instant::now();
    loop {
        let overview = client.fetch_status().await?;
        let behind = |entry: &&control::overview::Entry| {
            entry.applied.is_none_or(|applied| applied < accepted.index)
        };
        let entries: Vec<String> =
            overview.entries.iter().filter(behind).map(|entry| entry.name.clone()).collect();
        if entries.is_empty() && overview.index >= accepted.index {
            println!(
                "version {} is in force at {} entries",
                accepted.version,
                overview.entries.len()
            );
            return Ok(());
        }
        if start.elapsed() >= APPLY_TIMEOUT {
            return Err(Report::new(Failure::NotApplied { entries }));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
