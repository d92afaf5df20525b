//! Command-line arguments.

use bpaf::{OptionParser, Parser, construct, long};
use load::{Baseline, Fault, Scenario};
use telemetry::cli;
use telemetry::log::{Format, Level};

/// Arguments of the program.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Workload of the callers.
    pub scenario: Scenario,
    /// Fault that is injected repeatedly during the run.
    pub fault: Fault,
    /// Restriction of the workload for a baseline run, such as reads without the
    /// tag of their kind, which only primaries serve.
    pub baseline: Baseline,
    /// Whether callers connect to the primaries directly, without the proxy.
    pub direct: bool,
    /// Duration of the traffic and overload phases together, in seconds.
    pub seconds: u64,
    /// Number of callers, each with one session.
    pub callers: usize,
    /// Mean time between an answer and the next request, in milliseconds.
    pub think_ms: u64,
    /// Seed of the random numbers of the callers and the test bench.
    pub seed: u64,
    /// Whether the result is printed as JSON on a single line.
    pub json: bool,
    /// Minimum severity of logged messages.
    pub level: Level,
    /// Output format of the log.
    pub format: Format,
}

/// Returns the parser of the command line.
pub fn arguments() -> OptionParser<Arguments> {
    let scenario = long("scenario")
        .help("workload: lakeshore or egbolt")
        .argument::<String>("NAME")
        .parse(|text| cli::read("--scenario", &text, "lakeshore or egbolt"));
    let fault = long("fault")
        .help("fault that is put on the system again and again")
        .argument::<String>("NAME")
        .parse(|text| cli::read("--fault", &text, FAULTS))
        .fallback(Fault::None)
        .display_fallback();
    let baseline = long("baseline")
        .help("what the proxy is brought to: none or primary-only")
        .argument::<String>("NAME")
        .parse(|text| cli::read("--baseline", &text, "none or primary-only"))
        .fallback(Baseline::None)
        .display_fallback();
    let direct = long("direct").help("callers reach primaries without the proxy").switch();
    let seconds = long("seconds")
        .help("length of the traffic in seconds")
        .argument("S")
        .fallback(30)
        .display_fallback();
    let callers =
        long("callers").help("number of sessions").argument("N").fallback(240).display_fallback();
    let think_ms = long("think-ms")
        .help("mean time between an answer and the next request, in milliseconds")
        .argument("MS")
        .fallback(150)
        .display_fallback();
    let seed =
        long("seed").help("seed of the callers").argument("N").fallback(1).display_fallback();
    let json = long("json").help("write the result as one JSON object").switch();
    let level = cli::level(Level::Error);
    let format = cli::format();
    construct!(Arguments {
        scenario, fault, baseline, direct, seconds, callers, think_ms, seed, json, level, format
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Puts load and faults on the whole path and checks every promise; exits with 1 where one was broken")
}

const FAULTS: &str = "none, primary-crash, primary-partition, replica-lag, entry-crash, \
                      control-isolated, rolling-restart or double";
