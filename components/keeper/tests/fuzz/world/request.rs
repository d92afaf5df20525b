//! Sending of callers' requests, and checks of the message that ends each request.

use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use bytes::Bytes;
use keeper::{Event, Front};
use wire::data::{Class, End, Run};

use super::{AGE_MS, CALLERS, Caller, DEADLINE_MS, World};
use crate::oracle::{Request, Verb};

impl World {
    pub(super) fn end(&mut self, front: Front, end: &End) {
        assert!(self.fronts.contains(&front), "an end to a front that is gone");
        let request = self.oracle.end(self.now, front, end, &self.servers);
        assert!(!request.abandoned, "an end to a caller that is gone");
        let caller = &mut self.callers[request.caller];
        caller.open = None;
        caller.within = end.status != u32::from(b'I');
        caller.floor = caller.floor.max(end.mark.map(Mark::from));
        let done = end.outcome() == wire::data::Outcome::Done;
        let reply = request.reply.filter(|_| done);
        let wrote = reply.is_some_and(|reply| !self.oracle.replies[reply as usize].failed);
        match request.verb {
            Verb::Write if wrote && request.within => caller.ops.push(request.id),
            Verb::Write if wrote => drop(caller.known.insert(request.id)),
            Verb::Commit if wrote => caller.known.extend(request.ops.iter().copied()),
            _ => {}
        }
        if !caller.within {
            caller.ops.clear();
        }
    }

    /// Sends a new request of a random caller.
    pub(super) fn ask(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let number = u.choose_index(CALLERS)?;
        let id = self.next;
        let caller = &mut self.callers[number];
        if caller.open.is_some() {
            return Ok(());
        }
        let verb = match (caller.within, u.int_in_range(0..=9_u8)?) {
            (false | true, 0..=3) => Verb::Write,
            (false, 4..=7) | (true, 4) => Verb::Read,
            (false, _) => Verb::Begin,
            (true, 5..=8) => Verb::Commit,
            (true, _) => Verb::Rollback,
        };
        let class = match (verb, caller.within) {
            (Verb::Write, false) if u.ratio(1, 4)? => Class::Idempotent,
            (Verb::Read, false) if u.ratio(3, 4)? => Class::Read,
            _ => Class::Write,
        };
        if u.ratio(1, 8)? {
            caller.floor = None;
        }
        let read = class == Class::Read;
        let aged = read && caller.floor.is_some() && u.ratio(1, 3)?;
        let fresh =
            !caller.within && !aged && (caller.floor.is_none() || (read && u.ratio(1, 2)?));
        let front = self.fronts[caller.front];
        let run = Run {
            request: id,
            caller: number as u64,
            service: "ring".to_owned(),
            group: "group".to_owned(),
            class: class as i32,
            in_transaction: caller.within,
            floor: caller.floor.map(Into::into),
            fresh,
            age_ms: if aged { AGE_MS } else { 0 },
            patience_ms: u64::from(u.int_in_range(0..=20_u8)?),
            deadline_ms: DEADLINE_MS,
            payload: Bytes::from(id.to_string()),
            window: if u.ratio(1, 6)? { 0 } else { 1_000 },
            commits: verb == Verb::Commit,
            ..Run::default()
        };
        let since = if aged { Some(self.now - Duration::from_millis(AGE_MS)) } else { None };
        let since = if fresh { Some(self.now) } else { since };
        let request = Request {
            id,
            verb,
            class,
            within: caller.within,
            caller: number,
            since,
            known: caller.known.clone(),
            ops: caller.ops.clone(),
            parts: 0,
            reply: None,
            ended: false,
            abandoned: false,
        };
        if class != Class::Write {
            self.oracle.repeatable.insert(id);
        }
        self.next += 1;
        caller.open = Some(id);
        self.oracle.requests.insert((front, id), request);
        self.feed(Event::Run { front, run });
        Ok(())
    }

    pub(super) fn forget(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        let front = self.fronts[caller.front];
        let open = caller.open.and_then(|id| self.oracle.requests.get_mut(&(front, id)));
        let commits = open.as_ref().is_some_and(|request| request.verb == Verb::Commit);
        if let Some(request) = open {
            request.abandoned = true;
        }
        if caller.within && !commits {
            self.oracle.forbidden.extend(caller.ops.iter().copied());
        }
        *caller = Caller { front: caller.front, ..Caller::default() };
    }

    pub(super) fn cancel_or_credit(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let caller = &self.callers[u.choose_index(CALLERS)?];
        let front = self.fronts[caller.front];
        if let Some(request) = caller.open {
            let cancels = u.ratio(1, 4)?;
            let event = if cancels {
                Event::Cancel { front, request }
            } else {
                Event::Credit { front, request, bytes: 1_000 }
            };
            self.feed(event);
        }
        Ok(())
    }

    pub(super) fn credit_all(&mut self) {
        for number in 0..CALLERS {
            let front = self.fronts[self.callers[number].front];
            if let Some(request) = self.callers[number].open {
                self.feed(Event::Credit { front, request, bytes: 1_000 });
            }
        }
    }
}
