//! What a change of primary in an unfenced group waits for, so that the log can
//! name it.

use base::prelude::*;
use smallvec::SmallVec;

/// A condition that a change of primary waits for.
#[derive(Clone, Debug, PartialEq, Eq, strum::AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Wait {
    /// Keepers hold a lease on the group and have not sealed.
    Seals(SmallVec<[Name; 2]>),
    /// Leases of removed entries may still be in force.
    Leases,
    /// Servers have not reported their positions since the last lease ended.
    Positions(SmallVec<[Name; 2]>),
    /// No server that has reported its position is known to hold all acknowledged records.
    Records {
        /// Servers that have not reported.
        silent: SmallVec<[Name; 2]>,
        /// Position that covers what was acknowledged, as far as it is known.
        needed: Mark,
        /// Highest position that was reported.
        best: Option<Mark>,
        /// Whether `needed` is proved to cover all that was acknowledged.
        precise: bool,
        /// Whether a log that may have held some of these records has left the group.
        uncovered: bool,
    },
    /// The chosen server does not lead yet.
    Promotion(Name),
}

impl Wait {
    /// Text for the log.
    pub fn describe(&self) -> String {
        let names = |names: &[Name]| names.iter().map(Name::as_str).collect::<Vec<_>>().join(", ");
        match self {
            Self::Seals(entries) => format!("seals of {}", names(entries)),
            Self::Leases => "leases of removed entries".to_owned(),
            Self::Positions(servers) => format!("positions of {}", names(servers)),
            Self::Records { silent, needed, best, precise, uncovered } => {
                let bound = if *precise { "needed" } else { "needed at least" };
                let lost = if *uncovered { ", a log has left the group" } else { "" };
                let best = best.map_or("none".to_owned(), |mark| mark.to_string());
                let silent = names(silent);
                format!(
                    "a server with all acknowledged records: {bound} {needed}, best {best}, \
                     silent: {silent}{lost}"
                )
            }
            Self::Promotion(server) => format!("{server} to lead"),
        }
    }
}

/// A wait with its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The condition.
    pub wait: Wait,
    /// Time since which the change waits for this kind of condition.
    pub since: Instant,
}

impl Pending {
    /// Stores the present wait. The start is kept while its kind stays the same.
    pub(super) fn update(pending: &mut Option<Self>, now: Instant, wait: Option<Wait>) {
        let Some(wait) = wait else {
            *pending = None;
            return;
        };
        let same =
            |known: &Self| std::mem::discriminant(&known.wait) == std::mem::discriminant(&wait);
        let since = pending.as_ref().filter(|known| same(known)).map_or(now, |known| known.since);
        *pending = Some(Self { wait, since });
    }
}
