//! `diff`: shows the changes that `apply` would make for a directory of
//! declarations.

use std::path::Path;

use config::Declarations;
use error_stack::Report;

use crate::client::Client;
use crate::failure::Failure;

/// Prints the differences between the declarations in force and those in the
/// directory `files`.
pub async fn run(client: &Client, files: &Path) -> Result<(), Report<Failure>> {
    let wanted = config::files::read(files)
        .map_err(|problems| Report::new(Failure::Declarations(problems)))?;
    let current = client.fetch_config().await?;
    let content = current.content;
    let current = if content.is_empty() {
        Ok(Declarations::default())
    } else {
        Declarations::parse(&content)
    };
    let current = current.map_err(|_faults| Report::new(Failure::MalformedAnswer))?;
    for change in config::diff(&current, &wanted) {
        println!("{change}");
    }
    Ok(())
}
