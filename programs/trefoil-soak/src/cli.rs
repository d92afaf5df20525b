//! Command-line arguments.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs the real programs under load and faults, and checks every promise
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// First seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Number of seeds, one soak each
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seeds: u64,
    /// Length of the traffic of one soak in seconds
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Sessions at once
    #[bpaf(argument("N"), fallback(48), display_fallback)]
    pub callers: usize,
    /// Folder of the programs; that of this one by default
    #[bpaf(argument("DIR"), optional)]
    pub programs: Option<PathBuf>,
    /// Folder for data and logs, which stay; a temporary one by default
    #[bpaf(argument("DIR"), optional)]
    pub folder: Option<PathBuf>,
}
