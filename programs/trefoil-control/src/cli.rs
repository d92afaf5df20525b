//! Command-line arguments. Each setting has a flag and an environment variable.

use std::net::SocketAddr;
use std::path::PathBuf;

use base::mechanism::Without;
use base::prelude::*;
use bpaf::Bpaf;
use member::Peer;
use telemetry::cli::{self, Invalid};
use telemetry::{Format, Level};

/// A member of the control quorum
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run the member until SIGTERM
    #[bpaf(command)]
    Run(#[bpaf(external(options))] Options),
    /// Show what the data folder of a stopped member holds, as JSON
    #[bpaf(command)]
    Inspect(#[bpaf(external(inspect))] Inspect),
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Inspect {
    /// Data folder
    #[bpaf(long, env("TREFOIL_DATA"), argument("FOLDER"))]
    pub(crate) data: PathBuf,
}

/// Settings:
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Name of this host
    #[bpaf(long, env("TREFOIL_NAME"), argument("NAME"))]
    name: String,
    /// Data folder
    #[bpaf(long, env("TREFOIL_DATA"), argument("FOLDER"))]
    data: String,
    /// Address for links of members and entries
    #[bpaf(long, env("TREFOIL_LINK"), argument("IP:PORT"))]
    link: String,
    /// Address for HTTP
    #[bpaf(long, env("TREFOIL_WEB"), argument("IP:PORT"))]
    web: String,
    /// Key that the system's processes share, at least 16 bytes
    #[bpaf(long, env("TREFOIL_KEY"), argument("KEY"), hide_usage)]
    key: String,
    /// The first membership, this host included: NAME=LINK/WEB,NAME=LINK/WEB,..
    #[bpaf(long, env("TREFOIL_PEERS"), argument("PEERS"))]
    peers: String,
    #[bpaf(external(without))]
    without: Without,
    #[bpaf(external(level))]
    level: Level,
    #[bpaf(external(cli::format))]
    format: Format,
}

/// Error that ends the program.
#[derive(Debug, Clone, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "title_case")]
pub(crate) enum Failure {
    /// A setting is invalid.
    #[strum(to_string = "invalid settings")]
    Settings,
    /// The member, its runtime or its signal handlers could not start.
    #[strum(to_string = "could not start the member")]
    Start,
    /// The member ended without a signal.
    #[strum(to_string = "the member ended without a signal; see its log for the reason")]
    Ended,
    /// The data folder could not be read, or its contents not printed.
    #[strum(to_string = "could not read the data folder or print its contents")]
    Data,
}

impl std::error::Error for Failure {}

/// Validated settings of a member.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) name: Name,
    pub(crate) data: PathBuf,
    pub(crate) link: SocketAddr,
    pub(crate) web: SocketAddr,
    pub(crate) key: link::Key,
    pub(crate) peers: Vec<Peer>,
    pub(crate) without: Without,
    pub(crate) level: Level,
    pub(crate) format: Format,
}

fn without() -> impl bpaf::Parser<Without> {
    cli::without("TREFOIL_WITHOUT")
}

fn level() -> impl bpaf::Parser<Level> {
    cli::level(Level::Info)
}

impl Options {
    /// Validates all settings.
    ///
    /// # Errors
    /// [`Failure::Settings`], caused by the [`Invalid`] of the first invalid
    /// setting.
    pub(crate) fn check(self) -> Result<Settings, Report<Failure>> {
        self.into_settings()
            .map_err(|invalid| Report::new(invalid).change_context(Failure::Settings))
    }

    fn into_settings(self) -> Result<Settings, Invalid> {
        const ADDRESS_FORMAT: &str = "an IP number and port, as 10.0.0.1:7000";
        let name = cli::read("--name", &self.name, "1 to 128 of letters, digits and -_./:")?;
        let peers = parse_peers(&self.peers)?;
        if self.data.is_empty() {
            return Err(Invalid::new("--data", &self.data, "the path of a folder"));
        }
        if !peers.iter().any(|peer| peer.name == name) {
            return Err(Invalid::new("--peers", &self.peers, "a list that names this host too"));
        }
        let key = link::Key::new(self.key.as_bytes());
        let key =
            key.map_err(|_short| Invalid::new("--key", "..", "a key of at least 16 bytes"))?;
        Ok(Settings {
            data: PathBuf::from(&self.data),
            link: cli::read("--link", &self.link, ADDRESS_FORMAT)?,
            web: cli::read("--web", &self.web, ADDRESS_FORMAT)?,
            name,
            key,
            peers,
            without: self.without,
            level: self.level,
            format: self.format,
        })
    }
}

fn parse_peers(list: &str) -> Result<Vec<Peer>, Invalid> {
    let invalid = || {
        Invalid::new("--peers", list, "a list of NAME=LINK/WEB with commas between, each name once")
    };
    let mut peers: Vec<Peer> = Vec::new();
    for part in list.split(',') {
        let peer = parse_peer(part.trim()).ok_or_else(invalid)?;
        if peers.iter().any(|known| known.name == peer.name) {
            return Err(invalid());
        }
        peers.push(peer);
    }
    Ok(peers)
}

fn parse_peer(part: &str) -> Option<Peer> {
    let (name, addresses) = part.split_once('=')?;
    let (link, web) = addresses.split_once('/')?;
    Some(Peer { name: name.parse().ok()?, link: link.parse().ok()?, web: web.parse().ok()? })
}
