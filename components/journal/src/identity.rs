//! The member's id, which lives and dies with the data folder.

use error_stack::{Report, ResultExt};

use crate::disk::Disk;
use crate::store::{Failure, failed};

const NAME: &str = "identity";

/// The id kept in a folder; a folder without one takes `drawn`, durably.
///
/// # Errors
/// [`Failure::Disk`]; [`Failure::Corrupt`] when the file holds no id.
pub fn identity<D: Disk>(disk: &mut D, drawn: u64) -> Result<u64, Report<Failure>> {
    let names = disk.list().change_context_lazy(|| failed("."))?;
    if !names.iter().any(|name| name == NAME) {
        put(disk, drawn).change_context_lazy(|| failed(NAME))?;
        return Ok(drawn);
    }
    let bytes = disk.read(NAME).change_context_lazy(|| failed(NAME))?;
    let id = std::str::from_utf8(&bytes).ok().and_then(|text| text.trim().parse().ok());
    id.ok_or_else(|| Report::new(Failure::Corrupt { file: NAME.to_owned(), offset: 0 }))
}

fn put<D: Disk>(disk: &mut D, id: u64) -> std::io::Result<()> {
    let temporary = format!("{NAME}.tmp");
    if disk.list()?.contains(&temporary) {
        disk.remove(&temporary)?;
    }
    disk.append(&temporary, format!("{id}\n").as_bytes())?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, NAME)?;
    disk.sync_folder()
}
