//! Command-line arguments.

use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// Changes and shows what a trefoillink system does
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Web addresses of control members, with commas between; repeatable
    #[bpaf(long, argument("ADDR"), env("TREFOIL_ADMIN"), many)]
    pub admin: Vec<Addresses>,
    #[bpaf(external)]
    pub command: Command,
}

/// Addresses in a comma-separated list.
#[derive(Debug, Clone)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',').map(|address| address.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}

/// What to do
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Put a directory of declarations in force
    #[bpaf(command)]
    Apply {
        /// Directory of TOML files
        #[bpaf(short('f'), long("files"), argument("DIR"))]
        files: PathBuf,
        /// Wait until each entry has applied it
        wait: bool,
        /// Id of the change; give it again to ask for a lost answer
        #[bpaf(argument("ID"), optional)]
        change: Option<String>,
        /// Version that the change starts from; the current one by default
        #[bpaf(argument("N"), optional)]
        base: Option<u64>,
    },
    /// Show what a directory of declarations would change
    #[bpaf(command)]
    Diff {
        /// Directory of TOML files
        #[bpaf(short('f'), long("files"), argument("DIR"))]
        files: PathBuf,
    },
    /// Show the declarations in force
    #[bpaf(command)]
    Get,
    /// Show members, groups, entries and the last failovers
    #[bpaf(command)]
    Status {
        /// Print JSON
        json: bool,
        /// Show it again each second
        watch: bool,
    },
    /// Show how much of each service's error budget is left and how fast it burns
    #[bpaf(command)]
    Burn {
        /// Print JSON
        json: bool,
        /// Exit with 3 when an alarm stands
        check: bool,
        /// Write a page with plots too
        #[bpaf(argument("FILE"), optional)]
        html: Option<PathBuf>,
    },
    /// Show or change the members of control
    #[bpaf(command)]
    Members {
        #[bpaf(external(membership), optional)]
        change: Option<Membership>,
    },
    /// Have an entry keep no groups and take no callers
    #[bpaf(command)]
    Drain {
        /// Put it to use again
        off: bool,
        /// Name of the entry
        #[bpaf(positional("ENTRY"))]
        entry: String,
    },
    /// Show what became of a request, from the logs of several processes
    #[bpaf(command)]
    Path {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files; lines may have a time and a process' name in front
        #[bpaf(positional("FILE"), some("name the log files"))]
        files: Vec<PathBuf>,
    },
    /// Cause a fault in a stand-in group
    #[bpaf(command)]
    Fault {
        /// Name of the group
        #[bpaf(positional("GROUP"))]
        group: String,
        /// primary-crash, primary-partition, replica-lag=MS or heal
        #[bpaf(positional("FAULT"))]
        fault: String,
    },
}

/// A change of the members
#[derive(Debug, Clone, Bpaf)]
pub enum Membership {
    /// Add a member
    #[bpaf(command)]
    Add {
        /// Address of its links
        #[bpaf(argument("ADDR"))]
        link: SocketAddr,
        /// Address of its web port
        #[bpaf(argument("ADDR"))]
        web: SocketAddr,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Remove a member
    #[bpaf(command)]
    Remove {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}
