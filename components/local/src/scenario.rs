//! Places, sizes and declarations of the two examples.

use base::prelude::*;
use config::Declarations;

/// An example.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Scenario {
    /// Show entries around the lakes.
    #[default]
    Lakeshore,
    /// Launch-viewing tours.
    Egbolt,
}

/// Why the declarations of an example can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// No folder to write them to.
    Folder,
    /// They are wrong.
    Wrong,
}

impl std::error::Error for Failure {}

#[derive(Debug)]
struct File {
    name: &'static str,
    text: &'static str,
}

const LAKESHORE: [File; 3] = [
    File { name: "groups.toml", text: include_str!("../../../examples/lakeshore/groups.toml") },
    File {
        name: "selectors.toml",
        text: include_str!("../../../examples/lakeshore/selectors.toml"),
    },
    File { name: "services.toml", text: include_str!("../../../examples/lakeshore/services.toml") },
];

const EGBOLT: [File; 3] = [
    File { name: "groups.toml", text: include_str!("../../../examples/egbolt/groups.toml") },
    File { name: "selectors.toml", text: include_str!("../../../examples/egbolt/selectors.toml") },
    File { name: "services.toml", text: include_str!("../../../examples/egbolt/services.toml") },
];

/// Time that a new connection to a backend server takes.
pub const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Lag of the replicas at the start.
pub const REPLICA_LAG: Duration = Duration::from_millis(20);

/// Servers of each group.
pub const SERVERS_PER_GROUP: usize = 3;

impl Scenario {
    /// Availability zones.
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Lakeshore => &["lansing", "toledo", "green-bay"],
            Self::Egbolt => &["hu-central-a", "hu-central-b", "hu-central-c", "hu-central-d"],
        }
    }

    /// Database groups.
    pub const fn groups(self) -> &'static [&'static str] {
        match self {
            Self::Lakeshore => &["entries-1", "entries-2", "entries-3"],
            Self::Egbolt => &["tours-1", "tours-2", "tours-3"],
        }
    }

    /// Statements that a server runs at once.
    pub const fn slots(self) -> usize {
        match self {
            Self::Lakeshore => 2,
            Self::Egbolt => 3,
        }
    }

    /// Connections that a server accepts in all.
    pub const fn connections(self) -> usize {
        match self {
            Self::Lakeshore => 16,
            Self::Egbolt => 40,
        }
    }

    /// A service that may reach each group.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Lakeshore => "exhibitor-entry",
            Self::Egbolt => "website",
        }
    }

    /// The declarations, by the same reader that operators' files go through.
    ///
    /// # Errors
    /// [`Failure`].
    pub fn declarations(self) -> Result<Declarations, Report<Failure>> {
        let files = match self {
            Self::Lakeshore => &LAKESHORE,
            Self::Egbolt => &EGBOLT,
        };
        let folder = tempfile::tempdir().change_context(Failure::Folder)?;
        for file in files {
            let path = folder.path().join(file.name);
            std::fs::write(path, file.text).change_context(Failure::Folder)?;
        }
        config::files::read(folder.path()).change_context(Failure::Wrong)
    }
}
