//! Command-line arguments.

use std::net::SocketAddr;

use base::name::Name;
use bpaf::{OptionParser, Parser, construct, long};
use telemetry::cli;
use telemetry::log::{Format, Level};

/// Arguments of the program.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Name of the group.
    pub name: Name,
    /// Availability zones, assigned to the servers round-robin.
    pub zones: Vec<Name>,
    /// Number of servers.
    pub servers: usize,
    /// Maximum number of statements that a server runs concurrently.
    pub slots: usize,
    /// Maximum number of data connections per server.
    pub connections: usize,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Time from receipt to visibility of a write on a replica, in milliseconds.
    pub lag_ms: u64,
    /// HTTP addresses of the control members to which the servers announce
    /// themselves.
    pub controls: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether server 0 starts as the primary of term 1.
    pub settled: bool,
    /// Minimum severity of logged messages.
    pub level: Level,
    /// Output format of the log.
    pub format: Format,
}

/// Returns the parser of the command line.
pub fn arguments() -> OptionParser<Arguments> {
    let name = long("name")
        .env("TREFOIL_NAME")
        .help("name of the group")
        .argument("NAME")
        .fallback(default_name())
        .display_fallback();
    let zones = long("zone")
        .help("availability zone of the next server in turn; may be repeated")
        .argument("ZONE")
        .many();
    let servers = number("servers", "TREFOIL_SERVERS", "number of servers", 3);
    let slots = number("slots", "TREFOIL_SLOTS", "statements that a server runs at once", 2);
    let connections =
        number("connections", "TREFOIL_CONNECTIONS", "connections that a server accepts", 16);
    let connect_ms = long("connect-ms")
        .env("TREFOIL_CONNECT_MS")
        .help("time that a connection takes to open, in milliseconds")
        .argument("MS")
        .fallback(12)
        .display_fallback();
    let lag_ms = long("lag-ms")
        .env("TREFOIL_LAG_MS")
        .help("time until a replica shows what it received, in milliseconds")
        .argument("MS")
        .fallback(20)
        .display_fallback();
    let controls = long("control")
        .help("web address of a control member to announce to; may be repeated")
        .argument("IP:PORT")
        .many();
    let seed = long("seed")
        .env("TREFOIL_SEED")
        .help("seed of what is drawn")
        .argument("N")
        .fallback(0)
        .display_fallback();
    let settled = long("settled").help("start with server 0 as primary of term 1").switch();
    let level = cli::level(Level::Info);
    let format = cli::format();
    construct!(Arguments {
        name,
        zones,
        servers,
        slots,
        connections,
        connect_ms,
        lag_ms,
        controls,
        seed,
        settled,
        level,
        format
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("A stand-in of a database group, for benches")
}

fn default_name() -> Name {
    Name::new("entries-1").expect("the default name is valid")
}

fn number(
    name: &'static str,
    variable: &'static str,
    help: &'static str,
    fallback: usize,
) -> impl Parser<usize> {
    long(name).env(variable).help(help).argument("N").fallback(fallback).display_fallback()
}
