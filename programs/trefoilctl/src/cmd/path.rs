//! `path`: reconstructs the path of a request through the processes from their
//! log files, without contacting a control member.

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use trace::Logs;

use crate::failure::Failure;

/// Prints the path of the request with the id `request`, as recorded in the log
/// files `files`.
pub fn run(request: &str, files: &[PathBuf]) -> Result<(), Report<Failure>> {
    let mut logs = Logs::default();
    for path in files {
        read(&mut logs, path)?;
    }
    let path = trace::Path::find(&logs, request)
        .map_err(|error| Report::new(Failure::RequestNotFound(error)))?;
    print!("{}", path.text());
    if logs.malformed > 0 {
        eprintln!("{} lines are no JSON lines of a log and were passed over", logs.malformed);
    }
    Ok(())
}

fn read(logs: &mut Logs, path: &Path) -> Result<(), Report<Failure>> {
    let bytes = std::fs::read(path);
    let bytes = bytes.change_context_lazy(|| Failure::ReadFile { path: path.to_owned() })?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    logs.read(&name, &String::from_utf8_lossy(&bytes));
    Ok(())
}
