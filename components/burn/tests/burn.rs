//! Error budgets and burn rates from the pages of several entries.

use base::prelude::*;
use burn::report::Alarm;
use burn::{Event, Ledger, Report};
use config::model::Measure;
use config::{Declarations, Objective, Service};

const TARGET: f64 = 0.99;

fn objective() -> Objective {
    Objective { measure: Measure::Latency, target: TARGET, within_ms: 100 }
}

fn declarations() -> Declarations {
    let mut declarations = Declarations::default();
    let service = Service {
        labels: config::Labels::new(),
        weight: 1,
        limits: config::Limits::default(),
        objectives: vec![objective()],
    };
    declarations.services.insert(name("tags"), service);
    declarations
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn event(millis: u64) -> Event {
    Event { latency: Duration::from_millis(millis), done: true, write: false, age: None }
}

fn minute(number: u64) -> Instant {
    Instant::from_millis(number * 60_000)
}

fn ledger(fast: u64, slow: u64, at: Instant) -> Ledger {
    let mut ledger = Ledger::new();
    for _ in 0..fast {
        ledger.record(at, &name("tags"), &[objective()], event(5));
    }
    for _ in 0..slow {
        ledger.record(at, &name("tags"), &[objective()], event(500));
    }
    ledger
}

#[test]
fn merges_entries_with_clocks_of_their_own() {
    let first = ledger(90, 0, minute(3)).page(minute(4), &name("a"), 1);
    let second = ledger(9, 1, minute(9_000)).page(minute(9_001), &name("b"), 1);
    let report = Report::merge(&declarations(), &[first, second], vec![name("c")]);
    let row = &report.rows[0];
    assert_eq!((row.count.good, row.count.bad), (99, 1));
    assert!((row.burn[0] - 1.0).abs() < 1e-6, "burn is {}", row.burn[0]);
    assert!(row.budget_left.abs() < 1e-6, "budget left is {}", row.budget_left);
    assert_eq!(report.missing, vec![name("c")]);
    assert_eq!(report.covered_s(), 240);
}

#[test]
fn alarms_only_while_the_short_window_burns_too() {
    let ledger = ledger(1, 1, minute(100));
    let during = ledger.page(minute(101), &name("a"), 1);
    let after = ledger.page(minute(120), &name("a"), 1);
    assert_eq!(Report::merge(&declarations(), &[during], vec![]).alarm(), Alarm::Fast);
    assert_eq!(Report::merge(&declarations(), &[after], vec![]).alarm(), Alarm::Slow);
}

#[test]
fn drops_minutes_but_keeps_hours() {
    let ledger = ledger(0, 5, minute(0));
    let page = ledger.page(minute(60 * 24), &name("a"), 1);
    let report = Report::merge(&declarations(), &[page], vec![]);
    assert_eq!(report.rows[0].count.bad, 5);
    assert!(report.rows[0].burn.iter().all(|burn| *burn == 0.0));
}

#[test]
fn names_missing_entries_in_text_and_html() {
    let page = ledger(5, 5, minute(1)).page(minute(2), &name("a"), 1);
    let report = Report::merge(&declarations(), &[page], vec![name("lost-entry")]);
    let text = burn::text::render(&report);
    let html = burn::html::render(&report).expect("the plot is drawn");
    assert!(text.contains("lost-entry"));
    assert!(html.contains("lost-entry") && html.contains("<svg"));
    assert!(!html.contains("src=") && !html.contains("href="));
}

#[test]
fn round_trips_through_json() {
    let page = ledger(3, 2, minute(1)).page(minute(2), &name("a"), 1);
    let text = serde_json::to_string(&page).expect("a page can be serialized");
    let read: burn::Page = serde_json::from_str(&text).expect("a serialized page can be parsed");
    assert_eq!(read, page);
}

#[test]
fn merges_shards_as_if_counted_in_one() {
    let mut single = Ledger::new();
    let mut shards = [Ledger::new(), Ledger::new()];
    let objectives = [objective()];
    for index in 0..12 {
        // both shards record an event in each minute used, so their buckets overlap
        let (at, event) = (minute(index / 2 * 150), event(index * 30));
        shards[index as usize % 2].record(at, &name("tags"), &objectives, event);
        single.record(at, &name("tags"), &objectives, event);
    }
    let mut merged = Ledger::new();
    for shard in shards.iter().rev() {
        merged.merge(shard);
    }
    let (at, entry) = (minute(5_000), name("a"));
    assert_eq!(merged.page(at, &entry, 1), single.page(at, &entry, 1));
}

#[test]
fn removes_objectives_that_are_no_longer_declared() {
    let mut ledger = ledger(3, 2, minute(1));
    let other = Objective { within_ms: 7, ..objective() };
    ledger.record(minute(1), &name("tags"), &[other], event(1));
    ledger.record(minute(1), &name("gone"), &[objective()], event(1));
    ledger.retain(&declarations());
    let page = ledger.page(minute(2), &name("a"), 1);
    let kept: Vec<_> = page.lines.iter().map(|l| (l.service.as_str(), l.goal.within_ms)).collect();
    assert_eq!(kept, [("tags", 100)]);
    assert_eq!(page.latencies.len(), 1);
}
