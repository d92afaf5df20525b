//! Login of a caller of plain statements: its database and its team.
//!
//! Where teams are declared, a key identifies the caller's team. A key can be withdrawn
//! at any time, so the login is checked again before each statement that starts new work.

use ::plain::Problem;
use base::prelude::*;
use config::{Declarations, Digest};

/// Database and key that a caller named.
#[derive(Clone, Debug)]
pub(super) struct Login {
    pub(super) database: Name,
    key: Digest,
}

impl Login {
    /// Checks that the database is declared and that the key identifies a team.
    ///
    /// # Errors
    /// [`Problem::Database`] or [`Problem::Key`].
    pub(super) fn new(
        declarations: &Declarations,
        database: &str,
        key: &[u8],
    ) -> Result<Self, Problem> {
        let found = declarations.databases.get_key_value(database);
        let (database, _) = found.ok_or(Problem::Database)?;
        let login = Self { database: database.clone(), key: Digest::of(key) };
        login.team(declarations).map(|_team| login.clone())
    }

    /// Returns the team of the caller; `None` if callers have no team, or if the database
    /// is public and the key identifies no team.
    ///
    /// # Errors
    /// [`Problem::Key`] if the caller needs a key and its key identifies no team, or no
    /// longer does.
    pub(super) fn team<'a>(
        &self,
        declarations: &'a Declarations,
    ) -> Result<Option<&'a Name>, Problem> {
        if declarations.teams.is_none() {
            return Ok(None);
        }
        let team = declarations.team_of(&self.key);
        let database = declarations.databases.get(self.database.as_str());
        let is_public = database.is_some_and(|database| database.public);
        if team.is_none() && !is_public { Err(Problem::Key) } else { Ok(team) }
    }
}
