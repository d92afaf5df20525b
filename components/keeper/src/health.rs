//! Symptoms of a primary, for control to act on.

use base::prelude::*;
use wire::control::{Sight, Symptom};

use crate::event::{Effect, Outage};
use crate::group::Group;
use crate::server::Server;

/// Time without word from the primary after which a replica has lost it.
const PRIMARY_LOSS_LIMIT: Duration = Duration::from_millis(400);

/// Time without a report after which the primary is called silent. A busy one
/// answers late, which is no symptom.
const PRIMARY_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Time after which a symptom that lasts is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What was reported last.
#[derive(Debug, Default)]
pub(crate) struct Health {
    last_symptom: Option<Symptom>,
    reported_at: Instant,
}

impl Group {
    /// Reports what is seen of the primary, if it changed or stays bad.
    pub(crate) fn report_health(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(symptom) = self.symptom(now) else {
            return;
        };
        let bad = symptom.sight != Sight::Healthy as i32;
        let known = self.health.last_symptom.as_ref();
        let same = known == Some(&symptom) || (known.is_none() && !bad);
        let due = bad && now.since(self.health.reported_at) >= REPORT_INTERVAL;
        if same && !due {
            return;
        }
        self.health.last_symptom = Some(symptom.clone());
        self.health.reported_at = now;
        out.push(Effect::Report(symptom));
    }

    fn symptom(&self, now: Instant) -> Option<Symptom> {
        let named = || self.control_primary.as_ref().and_then(|name| self.server_named(name));
        let (key, term) = match self.primary() {
            Some(found) => found,
            None => (named()?, Term::default()),
        };
        let server = self.servers.get(key)?;
        let (term, sight) = match &self.unfenced {
            Some(unfenced) => (unfenced.term, self.unfenced_sight(now, key)),
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
        if primary.outage == Some(Outage::Refused) {
            return Sight::Refused;
        }
        if now.since(primary.last_heard) > PRIMARY_SILENCE_LIMIT {
            return Sight::Silent;
        }
        let replicas = (self.declared as usize).saturating_sub(1);
        let lost = self.servers.iter().filter(|(_, server)| has_lost_primary(now, server)).count();
        if replicas > 0 && lost > replicas / 2 { Sight::CutOff } else { Sight::Healthy }
    }
}

/// Whether a replica says of late that it has not heard of its primary.
fn has_lost_primary(now: Instant, server: &Server) -> bool {
    let Some(seen) = &server.report else {
        return false;
    };
    let replica = seen.status.role == Role::Replica;
    replica
        && server.is_responsive(now)
        && seen.status.silence + now.since(seen.received_at) > PRIMARY_LOSS_LIMIT
}
