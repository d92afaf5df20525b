//! Faults that can be injected into a group.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A fault, or the removal of all faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary crashes: its listener closes and its connections are reset.
    PrimaryCrash,
    /// The primary is partitioned from its replicas; callers and probes still reach
    /// it.
    PrimaryPartition,
    /// Servers apply each log entry this long after its receipt.
    ReplicaLag(Duration),
    /// Crashed servers restart; partitions, slowdowns and announced departures end,
    /// and the lag returns to that of the settings.
    Heal,
    /// The server of this number marks itself as leaving in its announcements.
    Leave(usize),
    /// On the server of this number, the time that each statement holds a slot in
    /// addition to its execution is multiplied by this factor.
    Slow(usize, u32),
}

/// Error for a text that names no fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// The text that was parsed.
    pub text: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is no fault: primary-crash, primary-partition, replica-lag=MS, heal, \
             leave=SERVER or slow=SERVER:TIMES",
            self.text
        )
    }
}

impl std::error::Error for Unknown {}

impl FromStr for Fault {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unknown = || Unknown { text: text.to_owned() };
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let number = |text: &str| text.parse::<u64>().map_err(|_ignored| unknown());
        Ok(match name {
            "primary-crash" => Self::PrimaryCrash,
            "primary-partition" => Self::PrimaryPartition,
            "heal" => Self::Heal,
            "replica-lag" => Self::ReplicaLag(Duration::from_millis(number(value)?)),
            "leave" => Self::Leave(number(value)? as usize),
            "slow" => {
                let (server, times) = value.split_once(':').ok_or_else(unknown)?;
                Self::Slow(number(server)? as usize, number(times)? as u32)
            }
            _ => return Err(unknown()),
        })
    }
}
