//! Descriptions of applied commands for log lines.

use std::fmt;

use control::Outcome;
use wire::log::Command;
use wire::log::command::Body;

/// Summary of a command: its kind, and the object that it concerns.
pub(crate) struct Summary<'a>(pub(crate) &'a Command);

impl Summary<'_> {
    /// Kind of the command.
    pub(crate) fn kind(&self) -> &'static str {
        match &self.0.body {
            Some(Body::Configure(_)) => "configure",
            Some(Body::Announce(_)) => "announce",
            Some(Body::Expire(_)) => "expire",
            Some(Body::Join(_)) => "join",
            Some(Body::Leave(_)) => "part",
            Some(Body::Assign(_)) => "assign",
            Some(Body::Intend(_)) => "intend",
            Some(Body::Choose(_)) => "choose",
            Some(Body::Establish(_)) => "establish",
            Some(Body::Drain(_)) => "drain",
            Some(Body::Replace(_)) => "replace",
            Some(Body::Cover(_)) => "cover",
            None => "none",
        }
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.body {
            Some(Body::Configure(configure)) => write!(f, "{}", configure.change),
            Some(Body::Announce(server)) => {
                let state = if server.leaving { " leaving" } else { "" };
                let role = if server.primary { " primary" } else { "" };
                write!(
                    f,
                    "{} of {} at {}{role}{state}",
                    server.server, server.group, server.address
                )
            }
            Some(Body::Expire(server)) => {
                let left = if server.left { " left" } else { "" };
                write!(f, "{}/{}{left}", server.server, server.incarnation)
            }
            Some(Body::Join(entry)) => write!(f, "{}/{}", entry.entry, entry.incarnation),
            Some(Body::Leave(entry)) => {
                let over = if entry.over { " over" } else { "" };
                write!(f, "{}/{}{over}", entry.entry, entry.incarnation)
            }
            Some(Body::Assign(assign)) => {
                write!(f, "{}", assign.group)?;
                for lease in &assign.leases {
                    let state = if lease.returning { " returning" } else { "" };
                    let slots: u32 = lease.shares.iter().map(|share| share.slots).sum();
                    write!(f, ", {}/{} {slots} slots{state}", lease.entry, lease.incarnation)?;
                }
                Ok(())
            }
            Some(Body::Intend(intend)) => write!(f, "{} term {}", intend.group, intend.term),
            Some(Body::Choose(choose)) => {
                write!(f, "{} term {}: {}", choose.group, choose.term, choose.server)
            }
            Some(Body::Establish(establish)) => {
                write!(f, "{} term {}: {}", establish.group, establish.term, establish.server)
            }
            Some(Body::Drain(drain)) => write!(f, "{} {}", drain.entry, drain.on),
            Some(Body::Replace(replace)) => write!(f, "edition {}", replace.edition),
            Some(Body::Cover(cover)) => write!(f, "{} index {}", cover.group, cover.index),
            None => Ok(()),
        }
    }
}

/// Short text of an outcome.
pub(crate) fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Applied => "applied".to_owned(),
        Outcome::Unchanged => "unchanged".to_owned(),
        Outcome::Answered(answer) => answer.to_string(),
        Outcome::Refused(refusal) => refusal.to_string(),
    }
}
