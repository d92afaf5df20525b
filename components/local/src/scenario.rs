//! Zones, sizes and declarations of the two examples.

use base::prelude::*;
use config::Declarations;

/// An example deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Scenario {
    /// Exhibitors' registrations for shows around the lakes.
    #[default]
    Lakeshore,
    /// Bookings of launch-viewing tours.
    Egbolt,
}

/// Why the declarations of an example cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The declarations could not be written to a temporary folder.
    Folder,
    /// The declarations could not be read from the temporary folder or are invalid.
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

/// Time to open a connection to a backend server.
pub const CONNECT_TIME: Duration = Duration::from_millis(12);

/// Initial replication lag.
pub const REPLICA_LAG: Duration = Duration::from_millis(20);

/// Number of backend servers of each group.
pub const SERVERS_PER_GROUP: usize = 3;

impl Scenario {
    /// Names of the availability zones.
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Lakeshore => &["lansing", "toledo", "green-bay"],
            Self::Egbolt => &["hu-central-a", "hu-central-b", "hu-central-c", "hu-central-d"],
        }
    }

    /// Names of the database groups.
    pub const fn groups(self) -> &'static [&'static str] {
        match self {
            Self::Lakeshore => &["entries-1", "entries-2", "entries-3"],
            Self::Egbolt => &["tours-1", "tours-2", "tours-3"],
        }
    }

    /// Largest number of statements that a server runs concurrently.
    pub const fn slots(self) -> usize {
        match self {
            Self::Lakeshore => 2,
            Self::Egbolt => 3,
        }
    }

    /// Largest number of concurrent data connections that a server accepts.
    pub const fn connections(self) -> usize {
        match self {
            Self::Lakeshore => 16,
            Self::Egbolt => 40,
        }
    }

    /// Name of a service that may access every group.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Lakeshore => "exhibitor-entry",
            Self::Egbolt => "website",
        }
    }

    /// Reads the declarations in the same way as the files of an operator.
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
