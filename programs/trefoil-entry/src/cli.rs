//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::mechanism::Without;
use base::name::Name;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use link::Key;
use telemetry::cli::{self, Invalid};
use telemetry::log::{Format, Level};

/// Command to run.
#[derive(Debug)]
pub enum Command {
    /// Runs an entry.
    Run(Box<Run>),
    /// Prints a line for the file of users, for the service with the given name.
    User(String),
}

/// Settings of `run`.
#[derive(Debug)]
pub struct Run {
    /// Name of the entry.
    pub name: Name,
    /// Availability zone of the entry's host.
    pub zone: Name,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other entries connect to.
    pub link: SocketAddr,
    /// Address of the HTTP server for health and metrics.
    pub web: SocketAddr,
    /// Link addresses of the control members.
    pub controls: Vec<SocketAddr>,
    /// Key shared by the processes of the system, or the reason why the key is
    /// invalid.
    pub key: Result<Key, Invalid>,
    /// File of users; without this file every login is trusted.
    pub users: Option<PathBuf>,
    /// Paths of the TLS certificate for callers and of its private key.
    pub tls: Option<(PathBuf, PathBuf)>,
    /// Mechanisms that are turned off.
    pub without: Without,
    /// Time limits of a graceful stop.
    pub stop: entry::Stop,
    /// Minimum severity of logged messages.
    pub level: Level,
    /// Output format of the log.
    pub format: Format,
}

const ADDRESS_FORMAT: &str = "an IP number and port, as 10.0.0.1:5432";
const NAME_FORMAT: &str = "1 to 128 letters, digits, `-`, `_`, `.`, `/` or `:`";

/// Parses the command line and the environment variables.
///
/// # Errors
/// The help or version text, or the first invalid argument.
pub fn parse() -> Result<Command, ParseFailure> {
    options().run_inner(Args::current_args())
}

fn options() -> OptionParser<Command> {
    let run = run().to_options().descr("Runs an entry").command("run");
    let user = user().to_options();
    let user = user.descr("Reads a password and prints a line for the file of users");
    let user = user.command("user");
    construct!([run, user]).to_options().version(env!("CARGO_PKG_VERSION"))
}

fn user() -> impl Parser<Command> {
    positional::<String>("NAME").help("name of the service").map(Command::User)
}

fn run() -> impl Parser<Command> {
    let name = name("name", "TREFOIL_NAME", "name of the entry");
    let zone = self::name("zone", "TREFOIL_ZONE", "availability zone of the host");
    let callers = address("callers", "TREFOIL_CALLERS", "where callers connect");
    let link = address("link", "TREFOIL_LINK", "where other entries connect");
    let web = address("web", "TREFOIL_WEB", "where health and metrics are served");
    let (controls, key, users, tls) = (controls(), key(), users(), tls());
    let without = cli::without("TREFOIL_WITHOUT");
    let stop = stop();
    let level = cli::level(Level::Info);
    let format = cli::format();
    construct!(Run {
        name,
        zone,
        callers,
        link,
        web,
        controls,
        key,
        users,
        tls,
        without,
        stop,
        level,
        format
    })
    .map(|run| Command::Run(Box::new(run)))
}

fn name(flag: &'static str, env: &'static str, help: &'static str) -> impl Parser<Name> {
    let text = long(flag).env(env).help(help).argument::<String>("NAME");
    text.parse(move |text| cli::read(&format!("--{flag}"), &text, NAME_FORMAT))
}

fn address(flag: &'static str, env: &'static str, help: &'static str) -> impl Parser<SocketAddr> {
    let text = long(flag).env(env).help(help).argument::<String>("IP:PORT");
    text.parse(move |text| cli::read(&format!("--{flag}"), &text, ADDRESS_FORMAT))
}

fn controls() -> impl Parser<Vec<SocketAddr>> {
    let help = "links of the control members, separated by commas";
    let text = long("controls").env("TREFOIL_CONTROLS").help(help).argument::<String>("IP:PORT,..");
    text.parse(|text| {
        let address = |part: &str| cli::read("--controls", part.trim(), ADDRESS_FORMAT);
        text.split(',').map(address).collect::<Result<_, Invalid>>()
    })
}

/// Parser of the key. The key is kept as a `Result` and its error reported
/// later, because bpaf would print an invalid key in its error message.
fn key() -> impl Parser<Result<Key, Invalid>> {
    let help = "key that the system's processes share, at least 16 bytes";
    let text = long("key").env("TREFOIL_KEY").help(help).argument::<String>("KEY").hide_usage();
    text.map(|text| {
        let invalid = |_short| Invalid::new("--key", "..", "at least 16 bytes");
        Key::new(text.as_bytes()).map_err(invalid)
    })
}

fn users() -> impl Parser<Option<PathBuf>> {
    let help = "file of users, a line NAME:VERIFIER for each; without it each login is trusted";
    long("users").env("TREFOIL_USERS").help(help).argument::<PathBuf>("PATH").optional()
}

fn tls() -> impl Parser<Option<(PathBuf, PathBuf)>> {
    let help = "file of the certificate for callers, in PEM";
    let cert = long("tls-cert").env("TREFOIL_TLS_CERT").help(help).argument::<PathBuf>("PATH");
    let help = "file of its private key, in PEM";
    let key = long("tls-key").env("TREFOIL_TLS_KEY").help(help).argument::<PathBuf>("PATH");
    construct!(cert, key).optional()
}

fn stop() -> impl Parser<entry::Stop> {
    let default = entry::Stop::default();
    let help = "time in which the balancer notices a stop, in milliseconds";
    let balancer = millis("balancer-ms", "TREFOIL_BALANCER_MS", help, default.balancer);
    let help = "time in which transactions may end at a stop, in milliseconds";
    let limit = millis("stop-limit-ms", "TREFOIL_STOP_LIMIT_MS", help, default.limit);
    let help = "further time for statements that still run then, in milliseconds";
    let statements =
        millis("stop-statements-ms", "TREFOIL_STOP_STATEMENTS_MS", help, default.statements);
    construct!(entry::Stop { balancer, limit, statements })
}

fn millis(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
    default: Duration,
) -> impl Parser<Duration> {
    let text = long(flag).env(env).help(help).argument::<String>("MS");
    let read = move |text: String| -> Result<Duration, Invalid> {
        let millis = cli::read(&format!("--{flag}"), &text, "a number of milliseconds")?;
        Ok(Duration::from_millis(millis))
    };
    text.parse(read).fallback(default)
}
