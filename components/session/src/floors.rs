//! The newest mark that a session has written or seen, for each group.

use base::prelude::*;
use smallvec::SmallVec;

/// Marks by group, sorted by group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floors {
    marks: SmallVec<[(Name, Mark); 1]>,
}

impl Floors {
    /// Makes the floors of a session that has written and seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The floor in a group.
    pub fn get(&self, group: &str) -> Option<Mark> {
        let found = self.marks.binary_search_by(|(name, _)| name.as_str().cmp(group));
        found.ok().map(|index| self.marks[index].1)
    }

    /// Raises the floor in a group; returns whether it rose.
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

    /// Raises each floor to that of another session.
    pub fn merge(&mut self, other: &Self) {
        for (group, mark) in &other.marks {
            self.raise(group, *mark);
        }
    }

    /// Groups and their floors, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Mark)> {
        self.marks.iter().map(|(name, mark)| (name, *mark))
    }

    /// Whether there is no floor.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
