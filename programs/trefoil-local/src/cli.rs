//! Command-line arguments and their validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use local::Scenario;
use telemetry::cli::{Invalid, read};
use telemetry::{Format, Level};

/// Maximum number of entries, and of control members, in one process.
const MAX_COUNT: usize = 32;

/// Validated settings.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) entries: usize,
    pub(crate) controls: usize,
    pub(crate) example: Scenario,
    pub(crate) data: Option<PathBuf>,
    pub(crate) log_level: Level,
    pub(crate) log_format: Format,
}

/// Parses the command line.
///
/// # Errors
/// The exit code, once the help, version or error text has been printed.
pub(crate) fn parse() -> Result<Settings, ExitCode> {
    options()
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| telemetry::cli::show(&failure))
}

fn options() -> OptionParser<Settings> {
    let listen = long("listen")
        .env("TREFOIL_LISTEN")
        .help("address of the first entry; the others take the ports after it")
        .argument::<String>("ADDRESS")
        .parse(|text| read("--listen", &text, "an IP number and a port"))
        .fallback(SocketAddr::from(([127, 0, 0, 1], 6432)))
        .display_fallback();
    let admin = long("admin")
        .env("TREFOIL_ADMIN")
        .help("address for operators")
        .argument::<String>("ADDRESS")
        .parse(|text| read("--admin", &text, "an IP number and a port"))
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7432)))
        .display_fallback();
    let entries = long("entries")
        .env("TREFOIL_ENTRIES")
        .help("number of entries")
        .argument::<String>("NUMBER")
        .parse(|text| parse_count("--entries", &text))
        .fallback(3)
        .display_fallback();
    let controls = long("controls")
        .env("TREFOIL_CONTROLS")
        .help("number of control members")
        .argument::<String>("NUMBER")
        .parse(|text| parse_count("--controls", &text))
        .fallback(3)
        .display_fallback();
    let example = long("example")
        .env("TREFOIL_EXAMPLE")
        .help("declarations and sizes: lakeshore or egbolt")
        .argument::<String>("NAME")
        .parse(|text| read("--example", &text, "lakeshore or egbolt"))
        .fallback(Scenario::Lakeshore)
        .display_fallback();
    let data = long("data")
        .env("TREFOIL_DATA")
        .help("folder for the control members' data; a temporary one when not given")
        .argument::<PathBuf>("DIR")
        .optional();
    let log_level = telemetry::cli::level(Level::Warning);
    let log_format = telemetry::cli::format();
    construct!(Settings { listen, admin, entries, controls, example, data, log_level, log_format })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("trefoillink in one process on loopback, with stand-in database groups")
}

fn parse_count(flag: &str, text: &str) -> Result<usize, Invalid> {
    let allowed = format!("a number from 1 to {MAX_COUNT}");
    let number = read(flag, text, &allowed)?;
    if (1..=MAX_COUNT).contains(&number) {
        Ok(number)
    } else {
        Err(Invalid::new(flag, text, &allowed))
    }
}
