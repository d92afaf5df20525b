//! The lines that tell what became of a request and why.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};

use base::prelude::*;
use telemetry::event::{Answered, Applied, GROUP, REQUEST};

use crate::clock::Clocks;
use crate::line::{Line, Logs, Source};

/// Time before a request's first line for which other events are shown, in
/// milliseconds: a failover and the loss of a lease fit into it.
const BEFORE: i64 = 5_000;

/// Time after its last line for which they are, in milliseconds.
const AFTER: i64 = 500;

/// Most other events that are shown, the nearest to its end.
const MOST: usize = 40;

/// Why nothing can be told of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindError {
    /// No line holds its id: it was done in time, or its line was left out.
    NotFound,
}

impl fmt::Display for FindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no line holds this id: it was done in time, or its line was left out")
    }
}

/// One step of a path.
#[derive(Debug)]
struct Step<'a> {
    line: &'a Line,
    /// Milliseconds from the request's last line; negative before it.
    time: i64,
    /// Whether the line is the request's own.
    own: bool,
    /// Whether the process' clock was compared with the front's.
    compared: bool,
}

impl Step<'_> {
    /// Order within one millisecond: what is decided comes first.
    fn rank(&self) -> u8 {
        match self.line.message.as_str() {
            Applied::MESSAGE => 0,
            Answered::MESSAGE => 2,
            _ => 1,
        }
    }
}

/// What became of one request.
#[derive(Debug)]
pub struct Path<'a> {
    logs: &'a Logs,
    steps: Vec<Step<'a>>,
}

impl<'a> Path<'a> {
    /// Finds the lines of a request, and the events around it: those of its group
    /// everywhere, and all of the processes that it went through.
    ///
    /// # Errors
    /// [`FindError::NotFound`].
    pub fn find(logs: &'a Logs, request: &str) -> Result<Self, FindError> {
        let own = |line: &&Line| line.text(REQUEST) == Some(request);
        let own: Vec<_> = logs.lines.iter().filter(own).collect();
        let answer = own.iter().find(|line| line.message == Answered::MESSAGE);
        let reference = answer.or(own.last()).ok_or(FindError::NotFound)?;
        let clocks = Clocks::new(logs, reference.source);
        let time = |line: &Line| clocks.time(line).unwrap_or(line.time);
        let times = || own.iter().map(|line| time(line));
        let (from, to) = (times().min().unwrap_or_default(), times().max().unwrap_or_default());
        let around = Around {
            groups: own.iter().filter_map(|line| line.text(GROUP)).collect(),
            sources: own.iter().map(|line| line.source).collect(),
            window: from - BEFORE..=to + AFTER,
        };
        let step = |line: &'a Line, own| Step {
            line,
            time: time(line) - to,
            own,
            compared: clocks.time(line).is_some(),
        };
        let others = logs.lines.iter().filter(|line| around.holds(line, time(line)));
        let mut others: Vec<_> = others.map(|line| step(line, false)).collect();
        others.sort_by_key(|step| step.time);
        let spare = others.len().saturating_sub(MOST);
        let mut steps = others.split_off(spare);
        steps.extend(own.iter().map(|line| step(line, true)));
        steps.sort_by_key(|step| (step.time, step.rank()));
        Ok(Self { logs, steps })
    }

    /// A line for each step: its time from the request's end, process, message
    /// and fields. The request's own are marked `>`, times of a clock that could
    /// not be compared `?`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for step in &self.steps {
            let mark = if step.own { '>' } else { ' ' };
            let sure = if step.compared { ' ' } else { '?' };
            let source = self.logs.sources.get(step.line.source);
            let name = source.map_or("", |source| source.name.as_str());
            let (message, details) = (&step.line.message, step.line.details());
            let _infallible =
                writeln!(text, "{mark} {:>7}{sure} ms  {name}  {message}  {details}", step.time);
        }
        text
    }
}

/// What counts as an event around a request.
struct Around<'a> {
    groups: BTreeSet<&'a str>,
    sources: BTreeSet<Key<Source>>,
    window: std::ops::RangeInclusive<i64>,
}

impl Around<'_> {
    fn holds(&self, line: &Line, time: i64) -> bool {
        if !self.window.contains(&time) || line.text(REQUEST).is_some() {
            return false;
        }
        match line.text(GROUP) {
            Some(group) => self.groups.contains(group),
            None if line.message == Applied::MESSAGE => self.concerns(line),
            None => self.sources.contains(&line.source),
        }
    }

    /// Whether an applied command names one of the groups.
    fn concerns(&self, line: &Line) -> bool {
        let subject = line.text("subject").unwrap_or_default();
        let mut words = subject.split(|letter: char| letter.is_whitespace() || letter == ',');
        words.any(|word| self.groups.contains(word))
    }
}
