//! An in-memory disk that loses unsynced changes in a crash.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use arbtest::arbitrary::{self, Unstructured};
use journal::Disk;

/// Index in [`Inner::files`] of each file, by file name.
type Names = BTreeMap<String, usize>;

#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    content: Vec<u8>,
}

#[derive(Debug, Default)]
struct Inner {
    files: Vec<File>,
    /// File names after each change since the last sync of the folder, starting with
    /// the synced names.
    names: Vec<Names>,
    /// Number of changes that still succeed; `None` if no change fails.
    remaining: Option<u32>,
}

#[derive(Clone, Debug, Default)]
pub struct Fake(Arc<Mutex<Inner>>);

impl Fake {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics while holding the lock")
    }

    /// Lets the next `changes` changes succeed and fails all later ones.
    pub fn fail_after(&self, changes: u32) {
        self.inner().remaining = Some(changes);
    }

    pub fn heal(&self) {
        self.inner().remaining = None;
    }

    /// Loses a random part of the unsynced changes: the last changes of file names, the
    /// end of the unsynced content of files, and unsynced truncations. Unsynced content
    /// that is kept may be zeroed.
    pub fn crash(&self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let mut inner = self.inner();
        inner.remaining = None;
        if !inner.names.is_empty() {
            let kept = u.choose_index(inner.names.len())?;
            inner.names = vec![inner.names[kept].clone()];
        }
        for file in &mut inner.files {
            if file.content.len() > file.durable.len() {
                let kept = u.int_in_range(file.durable.len()..=file.content.len())?;
                file.content.truncate(kept);
                if u.ratio(1, 4)? {
                    file.content[file.durable.len()..].fill(0);
                }
            } else if u.arbitrary()? {
                file.content = file.durable.clone();
            }
            file.durable = file.content.clone();
        }
        Ok(())
    }

    pub fn length(&self, name: &str) -> usize {
        self.read(name).expect("the file exists").len()
    }

    pub fn truncate_file(&self, name: &str, length: usize) {
        self.change(name, |content| content.truncate(length));
    }

    pub fn flip_bit(&self, name: &str, offset: usize) {
        self.change(name, |content| content[offset] ^= 0x10);
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut inner = self.inner();
        let file = inner.find(name).expect("the file exists");
        change(&mut inner.files[file].content);
    }
}

impl Inner {
    fn count_change(&mut self) -> Result<()> {
        match &mut self.remaining {
            Some(0) => Err(Error::from(ErrorKind::StorageFull)),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn current(&self) -> Names {
        self.names.last().cloned().unwrap_or_default()
    }

    fn find(&self, name: &str) -> Result<usize> {
        self.names
            .last()
            .and_then(|names| names.get(name).copied())
            .ok_or_else(|| Error::from(ErrorKind::NotFound))
    }

    fn push(&mut self, names: Names) {
        if self.names.is_empty() {
            self.names.push(Names::new());
        }
        self.names.push(names);
    }
}

impl Disk for Fake {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.inner().current().into_keys().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let inner = self.inner();
        Ok(inner.files[inner.find(name)?].content.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut inner = self.inner();
        let found = inner.find(name);
        let file = found.unwrap_or(inner.files.len());
        if file == inner.files.len() {
            inner.files.push(File::default());
            let mut names = inner.current();
            names.insert(name.to_owned(), file);
            inner.push(names);
        }
        let done = inner.count_change();
        // a failed append may write a part of the bytes
        let part = if done.is_ok() { bytes.len() } else { bytes.len() / 2 };
        inner.files[file].content.extend_from_slice(&bytes[..part]);
        done
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let file = inner.find(name)?;
        inner.files[file].content.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let file = inner.find(name)?;
        let content = inner.files[file].content.clone();
        inner.files[file].durable = content;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let mut names = inner.current();
        let file = names.remove(from).ok_or_else(|| Error::from(ErrorKind::NotFound))?;
        names.insert(to.to_owned(), file);
        inner.push(names);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let mut names = inner.current();
        names.remove(name).ok_or_else(|| Error::from(ErrorKind::NotFound))?;
        inner.push(names);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        let mut inner = self.inner();
        inner.count_change()?;
        let names = inner.current();
        inner.names = vec![names];
        Ok(())
    }
}
