//! Each event's line has its message and its fields.

use std::io::Write;
use std::sync::{Arc, Mutex};

use base::prelude::*;
use serde_json::Value;
use slog::{Drain, Logger, o};
use telemetry::event::{Answered, Applied, Ended, Learned, Sealed, Symptom};

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The line that an event writes.
fn line(event: impl FnOnce(&Logger)) -> Value {
    let written = Written::default();
    let drain = slog_json::Json::default(written.clone()).fuse();
    event(&Logger::root(Mutex::new(drain).fuse(), o!()));
    serde_json::from_slice(&written.0.lock().unwrap()).unwrap()
}

fn has(line: &Value, message: &str, fields: &[&str]) {
    assert_eq!(line["msg"], message);
    for field in fields {
        assert!(line.get(field).is_some(), "{message} lacks {field}: {line}");
    }
    // a field must not hide the time or the message of its line
    let common = ["msg", "level", "time_ms", "ts", "program", "member"];
    assert!(fields.iter().all(|field| !common.contains(field)));
}

#[test]
fn each_event_has_its_message_and_its_fields() {
    let (group, server) = (Name::new("g1").unwrap(), Name::new("s1").unwrap());
    let (took, mark) = (Duration::from_micros(12_700), Mark::new(2, 30));
    let answered = line(|log| {
        let event = Answered {
            request: "r1",
            database: &group,
            group: &group,
            access: "read",
            done: false,
            reason: "lease",
            took,
            objective: Duration::ZERO,
            version: 3,
            lease: Duration::ZERO,
            answer: "busy",
        };
        event.log(log);
    });
    has(&answered, Answered::MESSAGE, Answered::FIELDS);
    assert_eq!((&answered["took_ms"], &answered["request"]), (&12.into(), &"r1".into()));
    let ended = line(|log| {
        let event = Ended {
            request: "r1",
            group: &group,
            outcome: "unknown",
            reason: "deadline",
            stage: "running",
            server: Some(&server),
            primary: true,
            tries: 1,
            waited: took,
            sent: None,
            term: 2,
            led: true,
            leased: true,
            version: 3,
            sample: Some(took),
        };
        event.log(log);
    });
    has(&ended, Ended::MESSAGE, Ended::FIELDS);
    assert_eq!((&ended["server"], &ended["sent_ms"]), (&"s1".into(), &Value::Null));
    let applied = line(|log| {
        Applied { index: 7, term: 2, command: "intend", subject: "g1 term 2", outcome: "applied" }
            .log(log);
    });
    has(&applied, Applied::MESSAGE, Applied::FIELDS);
    let learned = line(|log| {
        let primary = Some(&server);
        Learned { group: &group, index: 7, version: 3, primary, term: 2, lease: "held" }.log(log);
    });
    has(&learned, Learned::MESSAGE, Learned::FIELDS);
    let sighted = line(|log| {
        Symptom { group: &group, server: "s1", condition: "silent", term: 2 }.log(log);
    });
    has(&sighted, Symptom::MESSAGE, Symptom::FIELDS);
    let sealed = line(|log| {
        Sealed { group: &group, term: 2, mark: Some(mark), index: 7 }.log(log);
    });
    has(&sealed, Sealed::MESSAGE, Sealed::FIELDS);
    assert_eq!(sealed["mark"], mark.to_string());
}
