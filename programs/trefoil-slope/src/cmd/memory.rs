//! Measures the resident memory and the encoded size of the state, by component.
//!
//! Resident memory per item is the growth of the process's resident pages while
//! a state with many items of a component is decoded, divided by the number of
//! items.

use control::State;
use error_stack::{Report, ResultExt};
use serde::Serialize;

use super::restart::Failure;
use crate::size::{self, Size};

const PAGE_BYTES: u64 = 4_096;

/// Size of a full deployment: one entry per node, one group per database, and as
/// many services as databases.
const FULL_SIZE: Size = Size { entries: 3_600, groups: 4_300, services: 4_300 };

/// Number of items of the measured component in a state.
const ITEM_COUNT: usize = 20_000;

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
        ("entry", ITEM_COUNT, Size { entries: ITEM_COUNT, ..Size::default() }),
        ("group of three servers", ITEM_COUNT, Size { groups: ITEM_COUNT, ..Size::default() }),
        (
            "service with its selector",
            ITEM_COUNT,
            Size { services: ITEM_COUNT, groups: 1, ..Size::default() },
        ),
        ("whole state", 1, FULL_SIZE),
    ];
    for (part, number, size) in parts {
        println!("{}", serde_json::json!(measure(part, number, size)?));
    }
    Ok(())
}

fn measure(part: &'static str, number: usize, size: Size) -> Result<Row, Report<Failure>> {
    // The first copy stays allocated so that the second one can't reuse its
    // memory.
    let first = size::build_state(size);
    let bytes = first.encode();
    let before = resident_bytes()?;
    let state = State::decode(&bytes).change_context(Failure::Image)?;
    let after = resident_bytes()?;
    // Both copies are leaked: the next component would reuse freed pages, and its
    // growth would not be measured.
    std::mem::forget((first, state));
    Ok(Row {
        measure: "memory",
        part,
        number,
        resident_bytes_each: after.saturating_sub(before) / number as u64,
        image_bytes_each: bytes.len() / number,
    })
}

fn resident_bytes() -> Result<u64, Report<Failure>> {
    let text = std::fs::read_to_string("/proc/self/statm").change_context(Failure::Folder)?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.ok_or(Failure::Folder)? * PAGE_BYTES)
}
