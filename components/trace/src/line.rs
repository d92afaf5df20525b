//! Parsing of log lines.

use base::prelude::*;
use serde_json::{Map, Value};

/// Name of the field that holds the time of a line by the clock of its host, in
/// milliseconds.
const TIME_FIELD: &str = "time_ms";

/// Name of the field that holds the message of a line.
const MESSAGE_FIELD: &str = "msg";

/// Names of the fields that all lines have, and that [`Line::details`] leaves out.
const COMMON_FIELDS: [&str; 4] = [TIME_FIELD, MESSAGE_FIELD, "level", "program"];

/// A process that logs.
#[derive(Debug)]
pub struct Source {
    /// Name that precedes the JSON of the process's lines, or else the name of the file.
    pub name: String,
}

/// A log line.
#[derive(Debug)]
pub struct Line {
    /// Process that wrote the line.
    pub source: Key<Source>,
    /// Time of the line by the clock of its host, in milliseconds since the Unix epoch.
    pub time: i64,
    /// Message of the line.
    pub message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Value of a text field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Value of a number field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The fields that are particular to the line, as `name=value`.
    pub fn details(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let shown = own.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// Log lines of several processes.
#[derive(Debug, Default)]
pub struct Logs {
    /// Processes that wrote the lines.
    pub sources: Arena<Source>,
    /// Lines in the order in which they were read.
    pub lines: Vec<Line>,
    /// Number of lines that aren't a JSON object with a time and a message.
    pub malformed: usize,
}

impl Logs {
    /// Parses the text of a file and adds its lines. The process is named by the last
    /// word with a letter before the JSON of a line; without such a word, by `file`.
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
        let time = fields.get(TIME_FIELD)?.as_i64()?;
        let message = fields.get(MESSAGE_FIELD)?.as_str()?.to_owned();
        let is_name = |word: &&str| word.chars().any(char::is_alphabetic);
        let named = line[..start].split_whitespace().rfind(is_name);
        let source = self.source(named.unwrap_or(file));
        self.lines.push(Line { source, time, message, fields });
        Some(())
    }

    /// The process with a name, added if it is new.
    fn source(&mut self, name: &str) -> Key<Source> {
        let known = self.sources.iter().find(|(_, source)| source.name == name);
        match known.map(|(key, _)| key) {
            Some(key) => key,
            None => self.sources.insert(Source { name: name.to_owned() }),
        }
    }
}
