//! `status`: shows control members, groups, entries and the last failovers.

use std::time::Duration;

use error_stack::{Report, ResultExt};

use crate::client::Client;
use crate::failure::Failure;
use crate::screen;

/// Refresh interval of `--watch`.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// ANSI escape sequence that moves the cursor to the top left corner and clears
/// the screen below.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[J";

/// Prints the status, once or, if `watch` is set, at each [`REFRESH_INTERVAL`].
pub async fn run(client: &Client, json: bool, watch: bool) -> Result<(), Report<Failure>> {
    loop {
        let overview = client.fetch_status().await;
        let text = match &overview {
            Ok(overview) if json => {
                serde_json::to_string(overview).change_context(Failure::MalformedAnswer)?
            }
            Ok(overview) => screen::render_overview(overview),
            Err(report) if watch => report.current_context().to_string(),
            Err(_) => String::new(),
        };
        if watch && !json {
            print!("{CLEAR_SCREEN}");
        }
        if !watch {
            overview?;
            println!("{text}");
            return Ok(());
        }
        println!("{text}");
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}
