//! Memory and image of the state, by its parts.
//!
//! Memory is the growth of the process's resident pages while many copies of a
//! part are built, divided by their number.

use control::State;
use error_stack::{Report, ResultExt};
use serde::Serialize;

use super::restart::Failure;
use crate::size::{self, Size};

const PAGE_BYTES: u64 = 4_096;

/// The users' size: nodes, databases, and one service each.
const WHOLE: Size = Size { entries: 3_600, groups: 4_300, services: 4_300 };

/// Number of the part that is measured.
const MANY: usize = 20_000;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    part: &'static str,
    number: usize,
    resident_bytes_each: u64,
    image_bytes_each: usize,
}

pub(crate) fn run() -> Result<(), Report<Failure>> {
    let parts = [
        ("entry", MANY, Size { entries: MANY, ..Size::default() }),
        ("group of three servers", MANY, Size { groups: MANY, ..Size::default() }),
        ("service with its selector", MANY, Size { services: MANY, groups: 1, ..Size::default() }),
        ("whole state", 1, WHOLE),
    ];
    for (part, number, size) in parts {
        println!("{}", serde_json::json!(measure(part, number, size)?));
    }
    Ok(())
}

fn measure(part: &'static str, number: usize, size: Size) -> Result<Row, Report<Failure>> {
    // the first copy stays, so that the second one can't take its place
    let first = size::build_state(size);
    let bytes = first.encode();
    let before = resident()?;
    let state = State::decode(&bytes).change_context(Failure::Image)?;
    let after = resident()?;
    // freed pages would be taken by the next part and not show
    std::mem::forget((first, state));
    Ok(Row {
        measure: "memory",
        part,
        number,
        resident_bytes_each: after.saturating_sub(before) / number as u64,
        image_bytes_each: bytes.len() / number,
    })
}

fn resident() -> Result<u64, Report<Failure>> {
    let text = std::fs::read_to_string("/proc/self/statm").change_context(Failure::Folder)?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.ok_or(Failure::Folder)? * PAGE_BYTES)
}
