//! The path of a request through the logs of hosts whose clocks differ.

use telemetry::event::{Answered, Applied, Ended, Learned, Symptom};
use trace::path::FindError;
use trace::{Clocks, Logs, Path};

/// Offset of the keeper's clock from the front end's clock, in milliseconds.
const KEEPER_OFFSET: i64 = 3_600_000;

/// Offset of the leader's clock from the front end's clock, in milliseconds.
const LEADER_OFFSET: i64 = -45_000;

fn line(time: i64, message: &str, fields: &str) -> String {
    format!(
        r#"{{"time_ms":{},"level":"INFO","msg":"{message}",{fields}}}"#,
        1_700_000_000_000 + time
    )
}

fn answered(time: i64, request: &str) -> String {
    let fields = format!(r#""request":"{request}","group":"g1","reason":"deadline""#);
    line(time, Answered::MESSAGE, &fields)
}

fn ended(time: i64, request: &str) -> String {
    let fields = format!(r#""request":"{request}","group":"g1","server":"s1","stage":"queued""#);
    line(time + KEEPER_OFFSET, Ended::MESSAGE, &fields)
}

fn logs() -> Logs {
    let mut logs = Logs::default();
    let front = [
        line(-40_000, "starts", r#""role":"entry""#),
        answered(90, "early"),
        line(500, "left a control member", r#""address":"a""#),
        answered(1_002, "asked"),
    ];
    logs.read("front", &front.join("\n"));
    let keeper = [
        line(700 + KEEPER_OFFSET, Symptom::MESSAGE, r#""group":"g1","sight":"silent""#),
        line(701 + KEEPER_OFFSET, Symptom::MESSAGE, r#""group":"g2","sight":"silent""#),
        line(903 + KEEPER_OFFSET, Learned::MESSAGE, r#""group":"g1","index":7,"primary":null"#),
        ended(89, "early"),
        ended(1_000, "asked"),
    ];
    // as a log collector writes the lines, preceded by a time and a name
    let named: Vec<_> = keeper.iter().map(|line| format!("12.5 host-2/entry {line}")).collect();
    logs.read("gathered", &named.join("\n"));
    let leader = [
        line(
            902 + LEADER_OFFSET,
            Applied::MESSAGE,
            r#""index":7,"subject":"g1 term 2","command":"intend""#,
        ),
        line(
            905 + LEADER_OFFSET,
            Applied::MESSAGE,
            r#""index":8,"subject":"g2 term 2","command":"intend""#,
        ),
    ];
    logs.read("leader", &leader.join("\n"));
    logs.read("stranger", &line(800, Symptom::MESSAGE, r#""group":"g1","sight":"silent""#));
    logs
}

#[test]
fn lines_are_in_the_order_in_which_they_were_written() {
    let logs = logs();
    assert_eq!(logs.malformed, 0);
    let text = Path::find(&logs, "asked").unwrap().text();
    let shown: Vec<_> = text.lines().collect();
    let starts = [
        "     -502  ms  front  left a control member",
        "     -301  ms  host-2/entry  symptom of a primary",
        "     -202? ms  stranger  symptom of a primary",
        "      -98  ms  leader  applied",
        "      -98  ms  host-2/entry  a group changed",
        ">      -1  ms  host-2/entry  a request ended",
        ">       0  ms  front  a statement was late or not done",
    ];
    assert_eq!(shown.len(), starts.len(), "{text}");
    for (line, start) in shown.iter().zip(starts) {
        let line: String = line.split_whitespace().collect::<Vec<_>>().join(" ");
        let start: String = start.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(line.starts_with(&start), "{line} is not {start}");
    }
    assert!(shown[6].contains(r#"reason="deadline""#) && !shown[6].contains("time_ms"));
}

#[test]
fn a_clock_is_compared_through_others() {
    let logs = logs();
    let key = |name: &str| logs.sources.iter().find(|(_, s)| s.name == name).unwrap().0;
    let clocks = Clocks::new(&logs, key("front"));
    let of = |name: &str| {
        let line = logs.lines.iter().rfind(|line| line.source == key(name)).unwrap();
        clocks.time(line).map(|time| time - line.time)
    };
    assert_eq!(of("front"), Some(0));
    assert_eq!(of("host-2/entry"), Some(1 - KEEPER_OFFSET));
    assert_eq!(of("leader"), Some(2 - LEADER_OFFSET));
    assert_eq!(of("stranger"), None);
}

#[test]
fn counts_malformed_lines_and_errors_on_an_unknown_request() {
    let mut logs = Logs::default();
    logs.read("file", "free text\n{\"time_ms\":1}\n{\"msg\":\"x\"}\n{ cut\n\n");
    assert_eq!(logs.malformed, 4);
    assert_eq!(Path::find(&logs, "asked").unwrap_err(), FindError::NotFound);
}

#[test]
fn keeps_the_events_nearest_to_the_end_of_a_request() {
    let mut logs = Logs::default();
    let mut lines = vec![answered(1_000, "asked")];
    lines.extend((0..500).map(|at| line(at, "left a control member", r#""address":"a""#)));
    logs.read("front", &lines.join("\n"));
    let text = Path::find(&logs, "asked").unwrap().text();
    assert_eq!(text.lines().count(), 41);
    assert!(text.lines().next().unwrap().contains("-540"));
}

#[test]
fn names_of_hosts_may_hold_digits() {
    let mut logs = Logs::default();
    logs.read("file", &format!("  -13.99 10.0.0.1 entry-7: {}", answered(1, "a")));
    let names: Vec<_> = logs.sources.iter().map(|(_, source)| source.name.clone()).collect();
    assert_eq!(names, ["entry-7:"]);
}
