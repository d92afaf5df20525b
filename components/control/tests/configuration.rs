//! Fuzzes changes of the declarations against a model that lists the accepted
//! ones: duplicate changes, concurrent changes of one version, invalid content,
//! members at different indexes, and restores from images in between.

mod schedule;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use control::changes::{Changes, MAX_ANSWERS};
use control::{Answer, Outcome, State};
use wire::log::{Command, Configure, command};

const STEPS: usize = 250;
const MEMBERS: usize = 3;

#[derive(Debug)]
#[expect(dead_code, reason = "the fields are printed with a failing seed")]
enum Violation {
    Answer { index: u64, got: Outcome, due: Answer },
    State { index: u64, version: u64, due: u64 },
}

/// Simple model of the answers and versions that the log must produce.
#[derive(Default)]
struct Oracle {
    accepted: Vec<String>,
    answers: BTreeMap<String, Answer>,
    /// By index: the expected answer, and the number of changes accepted so far.
    due: Vec<(Answer, usize)>,
}

impl Oracle {
    /// Records the change at an index, and the answer that members must give to it.
    fn record(&mut self, index: u64, configure: &Configure) {
        let version = self.accepted.len() as u64;
        let first = if configure.base != version {
            Answer::Conflict { version }
        } else if let Err(faults) = config::Declarations::parse(&configure.content) {
            Answer::Invalid(faults)
        } else {
            Answer::Accepted { version: version + 1, index }
        };
        let known = self.answers.get(&configure.change).cloned();
        if known.is_none() && matches!(first, Answer::Accepted { .. }) {
            self.accepted.push(configure.content.clone());
        }
        let answer = known.unwrap_or(first);
        self.answers.insert(configure.change.clone(), answer.clone());
        self.due.push((answer, self.accepted.len()));
    }
}

fn draw(u: &mut Unstructured<'_>, version: u64, last: u64) -> Result<Configure> {
    let change = format!("change-{}", u.int_in_range(0..=last)?);
    let base = version.saturating_sub(u.int_in_range(0..=2)?);
    let servers = u.int_in_range(0..=5u32)?;
    let group = u.int_in_range(0..=3u8)?;
    let content = match u.int_in_range(0..=9u8)? {
        9 => "{".to_owned(),
        _ => format!(r#"{{"groups":{{"g{group}":{{"servers":{servers}}}}}}}"#),
    };
    Ok(Configure { change, base, content, patch: String::new() })
}

/// Applies the next command to a member and checks the answer and the declarations.
fn apply(
    member: &mut State,
    log: &[Command],
    oracle: &Oracle,
) -> std::result::Result<(), Violation> {
    let index = member.index + 1;
    let got = member.apply(index, &log[index as usize - 1]);
    let (due, version) = &oracle.due[index as usize - 1];
    if got != Outcome::Answered(due.clone()) {
        return Err(Violation::Answer { index, got, due: due.clone() });
    }
    let content = version.checked_sub(1).map(|last| oracle.accepted[last].as_str());
    let declared = config::Declarations::parse(content.unwrap_or("{}")).unwrap();
    let due = *version as u64;
    if member.version != due || *member.declarations != declared {
        return Err(Violation::State { index, version: member.version, due });
    }
    Ok(())
}

/// Runs one schedule; `forgets` is whether images lose the answers to changes.
fn property(u: &mut Unstructured<'_>, forgets: bool) -> Result<std::result::Result<(), Violation>> {
    let mut members = vec![State::default(); MEMBERS];
    let mut log = Vec::new();
    let mut oracle = Oracle::default();
    for step in 0..STEPS as u64 {
        let configure = draw(u, oracle.accepted.len() as u64, step / 2)?;
        oracle.record(log.len() as u64 + 1, &configure);
        log.push(Command { body: Some(command::Body::Configure(configure)) });
        let at = u.choose_index(MEMBERS)?;
        let from = u.choose_index(MEMBERS)?;
        if u.ratio(1, 8)? && members[from].index > members[at].index {
            let mut image = State::decode(&members[from].encode()).unwrap();
            assert_eq!(image, members[from]);
            if forgets {
                image.changes = Changes::default();
            }
            members[at] = image;
        }
        for _ in 0..u.int_in_range(0..=6)? {
            if members[at].index == log.len() as u64 {
                break;
            }
            if let Err(violation) = apply(&mut members[at], &log, &oracle) {
                return Ok(Err(violation));
            }
        }
    }
    for member in &mut members {
        while member.index < log.len() as u64 {
            if let Err(violation) = apply(member, &log, &oracle) {
                return Ok(Err(violation));
            }
        }
    }
    assert!(members.iter().all(|member| *member == members[0]));
    Ok(Ok(()))
}

#[test]
fn answers_like_a_plain_list_of_changes() {
    schedule::run(|u| property(u, false));
}

#[test]
fn finds_an_image_that_forgets_changes() {
    assert!(schedule::find(100, |u| property(u, true)).is_some());
}

#[test]
fn keeps_the_newest_answers_only() {
    let mut changes = Changes::default();
    for version in 0..=MAX_ANSWERS as u64 {
        changes.insert(version.to_string(), Answer::Conflict { version });
    }
    assert_eq!(changes.len(), MAX_ANSWERS);
    assert_eq!(changes.get("0"), None);
    assert_eq!(changes.get("1"), Some(&Answer::Conflict { version: 1 }));
}
