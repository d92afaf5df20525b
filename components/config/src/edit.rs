//! Edits: the declarations that turn one configuration into another, for an entry
//! that has the former one.
//!
//! Unlike a [`Patch`](crate::Patch), which operators send, an edit covers all tables
//! and isn't validated: it is made from two configurations that are valid.

use serde::{Deserialize, Serialize};

use crate::check::Violation;
use crate::model::{Database, Declarations, Group, Selector, Service, Team};
use crate::patch::Delta;

/// Declarations to set and to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    groups: Delta<Group>,
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    services: Delta<Service>,
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    selectors: Delta<Selector>,
    #[serde(default, skip_serializing_if = "Delta::is_empty")]
    databases: Delta<Database>,
    /// Changes of the teams; `None` if the new configuration has no table of teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    teams: Option<Delta<Team>>,
}

impl Edit {
    /// The edit that turns `from` into `to`.
    pub fn between(from: &Declarations, to: &Declarations) -> Self {
        // a new table of the declarations must be added to this list
        let Declarations { groups, services, selectors, databases, teams } = to;
        let former_teams = from.teams.clone().unwrap_or_default();
        Self {
            groups: Delta::between(&from.groups, groups),
            services: Delta::between(&from.services, services),
            selectors: Delta::between(&from.selectors, selectors),
            databases: Delta::between(&from.databases, databases),
            teams: teams.as_ref().map(|teams| Delta::between(&former_teams, teams)),
        }
    }

    /// Parses the text of an edit.
    ///
    /// # Errors
    /// [`Violation::Syntax`] if the text isn't an edit.
    pub fn parse(text: &str) -> Result<Self, Violation> {
        serde_json::from_str(text).map_err(|error| Violation::Syntax { text: error.to_string() })
    }

    /// The text of the edit.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("an edit can be represented as JSON")
    }

    /// Applies the edit to the declarations that it was made from.
    pub fn apply(self, declarations: &mut Declarations) {
        self.groups.apply(&mut declarations.groups);
        self.services.apply(&mut declarations.services);
        self.selectors.apply(&mut declarations.selectors);
        self.databases.apply(&mut declarations.databases);
        let former_teams = declarations.teams.take();
        declarations.teams = self.teams.map(|delta| {
            let mut teams = former_teams.unwrap_or_default();
            delta.apply(&mut teams);
            teams
        });
    }
}
