//! Selection of the log lines that explain the outcome of a request.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};

use base::prelude::*;
use telemetry::event::{Answered, Applied, GROUP, REQUEST};

use crate::clock::Clocks;
use crate::line::{Line, Logs, Source};

/// Time before the first line of a request in which other events are shown, in
/// milliseconds. A failover and the loss of a lease fit into this time.
const MILLIS_BEFORE: i64 = 5_000;

/// Time after the last line of a request in which other events are shown, in
/// milliseconds.
const MILLIS_AFTER: i64 = 500;

/// Largest number of other events that are shown. The latest ones are kept.
const MAX_EVENTS: usize = 40;

/// The error of a request that has no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindError {
    /// No line holds the id of the request: the request was done in time, or its line
    /// was dropped.
    NotFound,
}

impl fmt::Display for FindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "no line holds this request id: the request was done in time, or its line was left out",
        )
    }
}

/// A line on the path of a request.
#[derive(Debug)]
struct Step<'a> {
    line: &'a Line,
    /// Time from the last line of the request, in milliseconds; negative before that
    /// line.
    time: i64,
    /// Whether the line belongs to the request itself.
    own: bool,
    /// Whether the clock of the line's process could be compared with the reference.
    compared: bool,
}

impl Step<'_> {
    /// Order of lines within one millisecond: decisions of the leader come first, and
    /// answers last.
    fn rank(&self) -> u8 {
        match self.line.message.as_str() {
            Applied::MESSAGE => 0,
            Answered::MESSAGE => 2,
            _ => 1,
        }
    }
}

/// The path of a request.
#[derive(Debug)]
pub struct Path<'a> {
    logs: &'a Logs,
    steps: Vec<Step<'a>>,
}

impl<'a> Path<'a> {
    /// Finds the lines of a request, and the other events around that time: in all
    /// processes the events of the request's group, and in the processes that handled
    /// the request also the events that concern no group.
    ///
    /// # Errors
    /// [`FindError::NotFound`] if no line holds the id of the request.
    pub fn find(logs: &'a Logs, request: &str) -> Result<Self, FindError> {
        let own = |line: &&Line| line.text(REQUEST) == Some(request);
        let own: Vec<_> = logs.lines.iter().filter(own).collect();
        let answer = own.iter().find(|line| line.message == Answered::MESSAGE);
        let reference = answer.or(own.last()).ok_or(FindError::NotFound)?;
        let clocks = Clocks::new(logs, reference.source);
        let time = |line: &Line| clocks.time(line).unwrap_or(line.time);
        let times = || own.iter().map(|line| time(line));
        let (from, to) = (times().min().unwrap_or_default(), times().max().unwrap_or_default());
        let filter = Filter {
            groups: own.iter().filter_map(|line| line.text(GROUP)).collect(),
            sources: own.iter().map(|line| line.source).collect(),
            window: from - MILLIS_BEFORE..=to + MILLIS_AFTER,
        };
        let step = |line: &'a Line, own| Step {
            line,
            time: time(line) - to,
            own,
            compared: clocks.time(line).is_some(),
        };
        let others = logs.lines.iter().filter(|line| filter.includes(line, time(line)));
        let mut others: Vec<_> = others.map(|line| step(line, false)).collect();
        others.sort_by_key(|step| step.time);
        let excess = others.len().saturating_sub(MAX_EVENTS);
        let mut steps = others.split_off(excess);
        steps.extend(own.iter().map(|line| step(line, true)));
        steps.sort_by_key(|step| (step.time, step.rank()));
        Ok(Self { logs, steps })
    }

    /// The path as text, with a line for each step: the time from the request's end, the
    /// process, the message and the fields. Lines of the request itself are marked `>`,
    /// and times of a clock that could not be compared `?`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for step in &self.steps {
            let mark = if step.own { '>' } else { ' ' };
            let clock_mark = if step.compared { ' ' } else { '?' };
            let source = self.logs.sources.get(step.line.source);
            let name = source.map_or("", |source| source.name.as_str());
            let (message, details) = (&step.line.message, step.line.details());
            let _infallible = writeln!(
                text,
                "{mark} {:>7}{clock_mark} ms  {name}  {message}  {details}",
                step.time
            );
        }
        text
    }
}

/// Filter for the other events that are shown with a request.
struct Filter<'a> {
    groups: BTreeSet<&'a str>,
    sources: BTreeSet<Key<Source>>,
    window: std::ops::RangeInclusive<i64>,
}

impl Filter<'_> {
    fn includes(&self, line: &Line, time: i64) -> bool {
        if !self.window.contains(&time) || line.text(REQUEST).is_some() {
            return false;
        }
        match line.text(GROUP) {
            Some(group) => self.groups.contains(group),
            None if line.message == Applied::MESSAGE => self.names_group(line),
            None => self.sources.contains(&line.source),
        }
    }

    /// Whether the subject of an applied command names one of the groups.
    fn names_group(&self, line: &Line) -> bool {
        let subject = line.text("subject").unwrap_or_default();
        let mut words = subject.split(|letter: char| letter.is_whitespace() || letter == ',');
        words.any(|word| self.groups.contains(word))
    }
}
