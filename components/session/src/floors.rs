//! Floors: the newest mark that a session has written or read, for each group.

use base::prelude::*;
use smallvec::SmallVec;

/// Floors of one session: a mark for each group, sorted by group name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floors {
    marks: SmallVec<[(Name, Mark); 1]>,
}

impl Floors {
    /// Creates the floors of a session that has neither written nor read anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// The floor for a group, if there is one.
    pub fn get(&self, group: &str) -> Option<Mark> {
        let found = self.marks.binary_search_by(|(name, _)| name.as_str().cmp(group));
        found.ok().map(|index| self.marks[index].1)
    }

    /// Raises the floor for a group to a mark. Returns false if the floor was at least as high.
    pub fn raise(&mut self, group: &Name, mark: Mark) -> bool {
        match self.marks.binary_search_by(|(name, _)| name.cmp(group)) {
            Ok(index) if self.marks[index].1 >= mark => false,
            Ok(index) => {
                self.marks[index].1 = mark;
                true
            }
            Err(index) => {
                self.marks.insert(index, (group.clone(), mark));
                true
            }
        }
    }

    /// Raises the floor for each group to the floor in `other`, where that one is higher.
    pub fn merge(&mut self, other: &Self) {
        for (group, mark) in &other.marks {
            self.raise(group, *mark);
        }
    }

    /// Groups and their floors, sorted by group name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Mark)> {
        self.marks.iter().map(|(name, mark)| (name, *mark))
    }

    /// Whether no group has a floor.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
