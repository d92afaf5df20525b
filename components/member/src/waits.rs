//! Log lines about what changes of primaries wait for.

use std::collections::BTreeMap;

use base::prelude::*;
use control::Leader;
use control::designation::wait::Pending;
use slog::{Logger, info};

/// Duration from which on a wait is logged.
const LOGGED_FROM: Duration = Duration::from_millis(150);

/// Waits that were logged and have not ended, by group.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    logged: BTreeMap<Name, Pending>,
}

impl Waits {
    /// Logs the waits that have become long, and those that have ended since.
    pub(crate) fn log(&mut self, now: Instant, leader: &Leader, log: &Logger) {
        let pending: BTreeMap<&Name, &Pending> = leader.pending().collect();
        self.logged.retain(|group, known| {
            let current = pending.get(group).is_some_and(|pending| pending.since == known.since);
            if !current {
                info!(log, "a change of primary went on"; "group" => %group,
                    "waited_for" => known.wait.as_ref(),
                    "waited_ms" => now.since(known.since).as_millis() as u64);
            }
            current
        });
        for (group, pending) in pending {
            let waited = now.since(pending.since);
            if waited < LOGGED_FROM || self.logged.contains_key(group) {
                continue;
            }
            info!(log, "a change of primary had to wait"; "group" => %group,
                "waits_for" => pending.wait.as_ref(), "detail" => pending.wait.describe(),
                "waited_ms" => waited.as_millis() as u64);
            self.logged.insert(group.clone(), pending.clone());
        }
    }
}
