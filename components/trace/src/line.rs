//! Lines of logs.

use base::prelude::*;
use serde_json::{Map, Value};

/// Field that holds the time of a line by its host's clock, in milliseconds.
const TIME: &str = "time_ms";

/// Field that holds the message of a line.
const MESSAGE: &str = "msg";

/// Fields that say nothing of the event.
const COMMON: [&str; 4] = [TIME, MESSAGE, "level", "program"];

/// A process that logs.
#[derive(Debug)]
pub struct Source {
    /// Name in front of its lines, or that of its file.
    pub name: String,
}

/// One line.
#[derive(Debug)]
pub struct Line {
    /// Process that wrote it.
    pub source: Key<Source>,
    /// Milliseconds since the epoch, by the clock of its host.
    pub time: i64,
    /// Its message.
    pub message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// A field that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Its own fields, as `name=value`.
    pub fn details(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let shown = own.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// The lines of several processes.
#[derive(Debug, Default)]
pub struct Logs {
    /// The processes.
    pub sources: Arena<Source>,
    /// Their lines, as they were read.
    pub lines: Vec<Line>,
    /// Lines that are no JSON object with a time and a message.
    pub malformed: usize,
}

impl Logs {
    /// Takes the text of a file. What stands before the JSON of a line names the
    /// process, if a word of it does; else `file` does.
    pub fn read(&mut self, file: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            if self.read_line(file, line).is_none() {
                self.malformed += 1;
            }
        }
    }

    fn read_line(&mut self, file: &str, line: &str) -> Option<()> {
        let start = line.find('{')?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            return None;
        };
        let time = fields.get(TIME)?.as_i64()?;
        let message = fields.get(MESSAGE)?.as_str()?.to_owned();
        let is_name = |word: &&str| word.chars().any(char::is_alphabetic);
        let named = line[..start].split_whitespace().rfind(is_name);
        let source = self.source(named.unwrap_or(file));
        self.lines.push(Line { source, time, message, fields });
        Some(())
    }

    fn source(&mut self, name: &str) -> Key<Source> {
        let known = self.sources.iter().find(|(_, source)| source.name == name);
        match known.map(|(key, _)| key) {
            Some(key) => key,
            None => self.sources.insert(Source { name: name.to_owned() }),
        }
    }
}
