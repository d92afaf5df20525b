//! The log line of each event has the event's message and fields.

use std::io::Write;
use std::sync::{Arc, Mutex};

use base::prelude::*;
use serde_json::Value;
use slog::{Drain, Logger, o};
use telemetry::event::{Answered, Applied, Ended, Learned, Sealed, Symptom};

/// Output that collects the bytes written to it.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The line that an event logs.
fn line(event: impl FnOnce(&Logger)) -> Value {
    let buffer = Buffer::default();
    let drain = slog_json::Json::default(buffer.clone()).fuse();
    event(&Logger::root(Mutex::new(drain).fuse(), o!()));
    serde_json::from_slice(&buffer.0.lock().unwrap()).unwrap()
}

fn assert_has(line: &Value, message: &str, fields: &[&str]) {
    assert_eq!(line["msg"], message);
    for field in fields {
        assert!(line.get(field).is_some(), "{message} lacks {field}: {line}");
    }
    // a field must not hide one that all lines have, such as the time or the message
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
    assert_has(&answered, Answered::MESSAGE, Answered::FIELDS);
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
    assert_has(&ended, Ended::MESSAGE, Ended::FIELDS);
    assert_eq!((&ended["server"], &ended["sent_ms"]), (&"s1".into(), &Value::Null));
    let applied = line(|log| {
        Applied { index: 7, term: 2, command: "intend", subject: "g1 term 2", outcome: "applied" }
            .log(log);
    });
    assert_has(&applied, Applied::MESSAGE, Applied::FIELDS);
    let learned = line(|log| {
        let primary = Some(&server);
        Learned { group: &group, index: 7, version: 3, primary, term: 2, lease: "held" }.log(log);
    });
    assert_has(&learned, Learned::MESSAGE, Learned::FIELDS);
    let symptom = line(|log| {
        Symptom { group: &group, server: "s1", condition: "silent", term: 2 }.log(log);
    });
    assert_has(&symptom, Symptom::MESSAGE, Symptom::FIELDS);
    let sealed = line(|log| {
        Sealed { group: &group, term: 2, mark: Some(mark), index: 7 }.log(log);
    });
    assert_has(&sealed, Sealed::MESSAGE, Sealed::FIELDS);
    assert_eq!(sealed["mark"], mark.to_string());
}
