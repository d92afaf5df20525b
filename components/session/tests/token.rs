//! Tests of issued, rejected and mutated session tokens, and of floors.

use arbtest::arbtest;
use base::prelude::*;
use session::{Failure, Floors, Keys};

const KEY: &[u8] = b"a shared key of enough bytes";

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn floors() -> Floors {
    let mut floors = Floors::new();
    floors.raise(&name("entries-1"), Mark::new(3, 700));
    floors.raise(&name("booking-2"), Mark::new(1, 9));
    floors
}

fn failure(keys: &Keys, service: &str, token: &str) -> Failure {
    *keys.verify(&name(service), token).unwrap_err().current_context()
}

#[test]
fn can_carry_floors() {
    let keys = Keys::new(KEY);
    let token = keys.issue(&name("entry"), &floors());
    assert_eq!(keys.verify(&name("entry"), &token).unwrap(), floors());
    assert!(token.len() < 100, "{} bytes", token.len());
}

#[test]
fn can_verify_with_an_older_key() {
    let token = Keys::new(b"an older key of enough bytes").issue(&name("entry"), &floors());
    let keys = Keys::new(KEY).with_previous(b"an older key of enough bytes");
    assert_eq!(keys.verify(&name("entry"), &token).unwrap(), floors());
    assert_eq!(failure(&Keys::new(KEY), "entry", &token), Failure::Key);
}

#[test]
fn errors_on_foreign_cut_and_forged_tokens() {
    let keys = Keys::new(KEY);
    let token = keys.issue(&name("entry"), &floors());
    assert_eq!(failure(&keys, "other", &token), Failure::Foreign);
    assert_eq!(failure(&keys, "entry", ""), Failure::Malformed);
    assert_eq!(failure(&keys, "entry", &token[..12]), Failure::Malformed);
    assert_eq!(failure(&keys, "entry", "not a token"), Failure::Malformed);
    let mut forged = token.clone();
    let last = if forged.pop() == Some('A') { 'Q' } else { 'A' };
    forged.push(last);
    assert!(keys.verify(&name("entry"), &forged).is_err());
}

#[test]
fn floors_only_rise() {
    let mut floors = floors();
    assert!(!floors.raise(&name("entries-1"), Mark::new(2, 9_999)));
    assert!(!floors.raise(&name("entries-1"), Mark::new(3, 700)));
    assert!(floors.raise(&name("entries-1"), Mark::new(4, 1)));
    assert_eq!(floors.get("entries-1"), Some(Mark::new(4, 1)));
    let mut other = Floors::new();
    other.raise(&name("entries-1"), Mark::new(3, 1));
    other.raise(&name("entries-3"), Mark::new(1, 1));
    floors.merge(&other);
    assert_eq!(floors.get("entries-1"), Some(Mark::new(4, 1)));
    assert_eq!(floors.get("entries-3"), Some(Mark::new(1, 1)));
}

/// Number of seeds in one fuzz run.
fn seed_count() -> u64 {
    std::env::var("TREFOIL_FUZZ_SCHEDULES").map_or(300, |text| text.parse().unwrap())
}

#[test]
fn mutated_tokens_never_verify() {
    let keys = Keys::new(KEY);
    let token = keys.issue(&name("entry"), &floors());
    for seed in 0..seed_count() {
        arbtest(|u| {
            let mut bytes = token.clone().into_bytes();
            for _ in 0..u.int_in_range(1..=4)? {
                match u.int_in_range(0..=3)? {
                    0 => bytes.truncate(u.choose_index(bytes.len() + 1)?),
                    1 => bytes.push(u.arbitrary()?),
                    2 if !bytes.is_empty() => drop(bytes.remove(u.choose_index(bytes.len())?)),
                    _ if !bytes.is_empty() => {
                        let index = u.choose_index(bytes.len())?;
                        bytes[index] = u.arbitrary()?;
                    }
                    _ => {}
                }
            }
            let mutated = String::from_utf8_lossy(&bytes).into_owned();
            if mutated != token {
                assert!(keys.verify(&name("entry"), &mutated).is_err(), "seed {seed}: {mutated}");
            }
            Ok(())
        })
        .seed(seed << 32 | 0x80)
        .run();
    }
}
