//! Lists of mechanisms that are turned off.

use base::mechanism::{Mechanism, Without};
use strum::IntoEnumIterator;

#[test]
fn each_mechanism_is_turned_off_by_its_name_alone() {
    for mechanism in Mechanism::iter() {
        let without: Without = <&str>::from(mechanism).parse().unwrap();
        for other in Mechanism::iter() {
            assert_eq!(without.has(other), other == mechanism);
        }
        assert_eq!(without.to_string(), <&str>::from(mechanism));
    }
}

#[test]
fn a_list_turns_off_all_that_it_names() {
    let without: Without = "slow-start, read-choice,".parse().unwrap();
    assert!(without.has(Mechanism::SlowStart) && without.has(Mechanism::ReadChoice));
    assert!(!without.has(Mechanism::Probation));
    assert_eq!("".parse(), Ok(Without::default()));
}

#[test]
fn an_unknown_name_is_an_error_that_lists_the_known_ones() {
    let error = "slow-starts".parse::<Without>().unwrap_err().to_string();
    assert!(error.contains("slow-starts") && error.contains("read-choice"));
}
