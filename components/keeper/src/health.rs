//! Symptoms of a primary, for control to act on.

use base::prelude::*;
use wire::control::{Sight, Symptom};

use crate::event::{Effect, Trouble};
use crate::group::Group;
use crate::server::Server;

/// Time without word from the primary after which a replica has lost it.
const LOST: Duration = Duration::from_millis(400);

/// Time without a report after which the primary is called silent. A busy one
/// answers late, which is no symptom.
const SILENT: Duration = Duration::from_millis(600);

/// Time after which a symptom that lasts is reported again.
const REPEAT: Duration = Duration::from_secs(1);

/// What was reported last.
#[derive(Debug, Default)]
pub(crate) struct Health {
    last: Option<Symptom>,
    at: Instant,
}

impl Group {
    /// Reports what is seen of the primary, if it changed or stays bad.
    pub(crate) fn watch(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(symptom) = self.symptom(now) else {
            return;
        };
        let bad = symptom.sight != Sight::Healthy as i32;
        let known = self.health.last.as_ref();
        let same = known == Some(&symptom) || (known.is_none() && !bad);
        let due = bad && now.since(self.health.at) >= REPEAT;
        if same && !due {
            return;
        }
        self.health.last = Some(symptom.clone());
        self.health.at = now;
        out.push(Effect::Report(symptom));
    }

    fn symptom(&self, now: Instant) -> Option<Symptom> {
        let named = || self.named.as_ref().and_then(|name| self.server_named(name));
        let (key, term) = match self.primary() {
            Some(found) => found,
            None => (named()?, Term::default()),
        };
        let server = self.servers.get(key)?;
        let (term, sight) = match &self.solo {
            Some(solo) => (solo.term, self.sight_solo(now, key)),
            None => (term, self.sight(now, server)),
        };
        Some(Symptom {
            group: self.name.to_string(),
            server: server.name.to_string(),
            term: term.0,
            sight: sight as i32,
        })
    }

    fn sight(&self, now: Instant, primary: &Server) -> Sight {
        if primary.trouble == Some(Trouble::Refused) {
            return Sight::Refused;
        }
        if now.since(primary.heard) > SILENT {
            return Sight::Silent;
        }
        let replicas = (self.declared as usize).saturating_sub(1);
        let lost = self.servers.iter().filter(|(_, server)| has_lost(now, server)).count();
        if replicas > 0 && lost > replicas / 2 { Sight::CutOff } else { Sight::Healthy }
    }
}

/// Whether a replica says of late that it has not heard of its primary.
fn has_lost(now: Instant, server: &Server) -> bool {
    let Some(seen) = &server.seen else {
        return false;
    };
    let replica = seen.status.role == Role::Replica;
    replica && server.answers(now) && seen.status.silence + now.since(seen.came) > LOST
}
