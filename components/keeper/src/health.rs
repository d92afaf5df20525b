//! Detection of symptoms of a failed primary, which are reported to control.

use base::prelude::*;
use wire::control::{Condition, Symptom};

use crate::event::{Effect, Outage};
use crate::group::Group;
use crate::server::Server;

/// Time without contact after which a replica is considered cut off from the
/// primary.
const PRIMARY_LOSS_LIMIT: Duration = Duration::from_millis(400);

/// Time without a report after which the primary is considered silent. An
/// overloaded primary answers late, which is not a symptom.
const PRIMARY_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Interval at which a persisting symptom is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Last symptom of the primary that was reported to control, with the
/// time of the report.
#[derive(Debug, Default)]
pub(crate) struct Health {
    last_symptom: Option<Symptom>,
    reported_at: Instant,
}

impl Group {
    /// Reports the state of the primary to control if it changed or remains
    /// unhealthy.
    pub(crate) fn report_health(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let Some(symptom) = self.symptom(now) else {
            return;
        };
        let bad = symptom.condition != Condition::Healthy as i32;
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
        let control_primary =
            || self.control_primary.as_ref().and_then(|name| self.server_named(name));
        let (key, term) = match self.primary() {
            Some(found) => found,
            None => (control_primary()?, Term::default()),
        };
        let server = self.servers.get(key)?;
        let (term, condition) = match &self.unfenced {
            Some(unfenced) => (unfenced.term, self.unfenced_condition(now, key)),
            None => (term, self.condition(now, server)),
        };
        Some(Symptom {
            group: self.name.to_string(),
            server: server.name.to_string(),
            term: term.0,
            condition: condition as i32,
        })
    }

    fn condition(&self, now: Instant, primary: &Server) -> Condition {
        if primary.outage == Some(Outage::Refused) {
            return Condition::Refused;
        }
        if now.since(primary.last_heard) > PRIMARY_SILENCE_LIMIT {
            return Condition::Silent;
        }
        let replicas = (self.declared as usize).saturating_sub(1);
        let lost = self.servers.iter().filter(|(_, server)| has_lost_primary(now, server)).count();
        if replicas > 0 && lost > replicas / 2 { Condition::CutOff } else { Condition::Healthy }
    }
}

/// Whether a replica recently reported that it has lost contact with its
/// primary.
fn has_lost_primary(now: Instant, server: &Server) -> bool {
    let Some(report) = &server.report else {
        return false;
    };
    let replica = report.status.role == Role::Replica;
    replica
        && server.is_responsive(now)
        && report.status.silence + now.since(report.received_at) > PRIMARY_LOSS_LIMIT
}
