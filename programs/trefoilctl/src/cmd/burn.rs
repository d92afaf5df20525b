//! `burn`: shows the remaining error budgets, summed over all entries.

use std::path::PathBuf;

use base::name::Name;
use burn::report::Alarm;
use burn::{Page, text};
use config::Declarations;
use control::overview::Entry;
use error_stack::{Report, ResultExt};
use futures::future::join_all;

use crate::client::Client;
use crate::failure::Failure;

/// Options of `burn`.
#[derive(Debug)]
pub struct Options {
    /// Whether to print the report as JSON.
    pub json: bool,
    /// Whether an alarm makes the command fail.
    pub check: bool,
    /// File for a copy of the report as an HTML page with plots.
    pub html: Option<PathBuf>,
}

/// Prints the report, writes a copy to the file `options.html` if given, and fails
/// if `options.check` is set and the report contains an alarm.
pub async fn run(client: &Client, options: Options) -> Result<(), Report<Failure>> {
    let report = fetch_report(client).await?;
    if let Some(path) = options.html {
        let page = burn::html::render(&report).change_context(Failure::MalformedAnswer)?;
        std::fs::write(&path, page).change_context(Failure::WriteFile { path })?;
    }
    if options.json {
        println!("{}", serde_json::to_string(&report).change_context(Failure::MalformedAnswer)?);
    } else {
        print!("{}", text::render(&report));
    }
    let alarm = report.alarm();
    if options.check && alarm > Alarm::None {
        return Err(Report::new(Failure::Alarm { alarm }));
    }
    Ok(())
}

/// Fetches the counters of all live entries concurrently and merges them.
async fn fetch_report(client: &Client) -> Result<burn::Report, Report<Failure>> {
    let current = client.fetch_config().await?;
    let declarations: Declarations =
        serde_json::from_str(&current.content).change_context(Failure::MalformedAnswer)?;
    let entries = client.fetch_status().await?.entries;
    let answers = join_all(entries.iter().map(|entry| fetch_page(client, entry))).await;
    let (mut pages, mut missing) = (Vec::new(), Vec::new());
    for (entry, page) in entries.iter().zip(answers) {
        match page {
            Some(page) => pages.push(page),
            None => missing.push(Name::new(&entry.name).change_context(Failure::MalformedAnswer)?),
        }
    }
    if pages.is_empty() {
        let entries = entries.into_iter().map(|entry| entry.name).collect();
        return Err(Report::new(Failure::NoPages { entries }));
    }
    Ok(burn::Report::merge(&declarations, &pages, missing))
}

/// Fetches the page of an entry. A page from another process that has taken over
/// the entry's address is ignored.
async fn fetch_page(client: &Client, entry: &Entry) -> Option<Page> {
    let page = client.fetch_page(entry.web.as_deref()?).await?;
    (page.entry.as_str() == entry.name).then_some(page)
}
