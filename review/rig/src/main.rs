//! Plays the cases of the review that are scripts. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod case_drain;
mod case_lost;
mod case_one;
mod case_stop;
mod client;
mod group;
mod net;
mod platform;
mod record;
mod system;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = PathBuf::from(folder).join("record.txt");
    let Ok(record) = record::Record::create(&path) else {
        eprintln!("could not create the record");
        return ExitCode::from(2);
    };
    let played = match case.as_str() {
        "lost" => case_lost::run(record.clone(), trouble),
        "stop" => case_stop::run(record.clone(), trouble),
        "drain" => case_drain::run(record.clone(), trouble),
        "one" => case_one::run(record.clone(), trouble),
        _ => world::unable("unknown case"),
    };
    let (text, code) = match played {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(world::Unable(reason)) => (format!("the case could not run: {reason}"), 2),
    };
    record.line("result", &text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
