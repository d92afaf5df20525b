//! Teams whose requests a group has seen, and the flows that share its capacity fairly.

use base::prelude::*;
use wire::data::Run;

use crate::group::Group;
use crate::service::Service;

/// A declared team that has sent requests to a group.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) name: Name,
    /// Priority among the teams whose requests have the same priority.
    pub(crate) priority: u32,
}

/// Requests that get one fair share of the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Flow {
    /// Requests of a service whose callers have no team.
    Service(Key<Service>),
    /// Requests of a team, to all services with the same priority.
    Team(Key<Team>),
}

impl Group {
    /// Returns the team of a request. Creates its state at the first use if the team is
    /// declared.
    pub(crate) fn team(&mut self, run: &Run) -> Option<Key<Team>> {
        if run.team.is_empty() || !self.is_unfenced() {
            return None;
        }
        if let Some(key) = self.teams_by_name.get(run.team.as_str()) {
            return Some(*key);
        }
        let declared = self.declarations.teams.as_ref()?;
        let (name, team) = declared.get_key_value(run.team.as_str())?;
        let (name, priority) = (name.clone(), team.priority);
        let key = self.teams.insert(Team { name: name.clone(), priority });
        self.teams_by_name.insert(name, key);
        Some(key)
    }

    /// Applies the declarations of the teams, and forgets those that are no longer
    /// declared.
    pub(crate) fn update_teams(&mut self) {
        let declared = self.declarations.teams.as_ref();
        for (_, team) in self.teams.iter_mut() {
            let found = declared.and_then(|teams| teams.get(&team.name));
            team.priority = found.map_or(team.priority, |found| found.priority);
        }
        let kept = |name: &Name| declared.is_some_and(|teams| teams.contains_key(name));
        for (_, key) in self.teams_by_name.extract_if(.., |name, _| !kept(name)) {
            self.teams.remove(key);
        }
    }
}
