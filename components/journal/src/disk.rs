//! Access to the disk: a folder of files whose changes are durable only once synced.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// Name of the lock file that prevents a second process from opening a folder.
const LOCK: &str = "lock";

/// A folder of files. Names are plain file names.
pub trait Disk: fmt::Debug + Send {
    /// Lists the names of all files.
    fn list(&self) -> Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// Appends to a file, which is created if missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Renames a file and replaces any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// Makes creations, renames and removals of files durable.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A folder of the file system, locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: BTreeMap<String, File>,
    lock: File,
}

impl Folder {
    /// Opens and locks a folder, which is created if missing.
    ///
    /// # Errors
    /// [`ErrorKind::ResourceBusy`] when another process has locked the folder,
    /// otherwise the error of the file system.
    pub fn open(path: &Path) -> Result<Self> {
        let created = !path.exists();
        std::fs::create_dir_all(path)?;
        if created && let Some(parent) = path.parent().filter(|parent| parent.is_dir()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => {
                return Err(Error::from(ErrorKind::ResourceBusy));
            }
            Err(std::fs::TryLockError::Error(error)) => return Err(error),
        }
        Ok(Self { path: path.to_owned(), open: BTreeMap::new(), lock })
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| Error::from(ErrorKind::NotFound))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // closing the file releases the lock too, so a failure can be ignored
        drop(self.lock.unlock());
    }
}

impl Disk for Folder {
    fn list(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            names.extend(name.to_str().filter(|name| *name != LOCK).map(str::to_owned));
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
