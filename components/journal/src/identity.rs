//! The id of a member, stored in its data folder.

use error_stack::{Report, ResultExt};

use crate::disk::Disk;
use crate::store::{Failure, failed};

const FILE_NAME: &str = "identity";

/// Returns the id stored in a folder. If the folder has none, stores `generated`
/// durably and returns it.
///
/// # Errors
/// [`Failure::Disk`]; [`Failure::Corrupt`] when the file does not contain an id.
pub fn identity<D: Disk>(disk: &mut D, generated: u64) -> Result<u64, Report<Failure>> {
    let names = disk.list().change_context_lazy(|| failed("."))?;
    if !names.iter().any(|name| name == FILE_NAME) {
        store(disk, generated).change_context_lazy(|| failed(FILE_NAME))?;
        return Ok(generated);
    }
    let bytes = disk.read(FILE_NAME).change_context_lazy(|| failed(FILE_NAME))?;
    let id = std::str::from_utf8(&bytes).ok().and_then(|text| text.trim().parse().ok());
    id.ok_or_else(|| Report::new(Failure::Corrupt { file: FILE_NAME.to_owned(), offset: 0 }))
}

fn store<D: Disk>(disk: &mut D, id: u64) -> std::io::Result<()> {
    let temporary = format!("{FILE_NAME}.tmp");
    if disk.list()?.contains(&temporary) {
        disk.remove(&temporary)?;
    }
    disk.append(&temporary, format!("{id}\n").as_bytes())?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, FILE_NAME)?;
    disk.sync_folder()
}
