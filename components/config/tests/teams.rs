//! Teams, their keys and their quotas in declarations.

use std::collections::{BTreeMap, BTreeSet};

use base::name::Name;
use config::{Allowed, Declarations, Digest, Quota, Team, Violation};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn declare(teams: &[(&str, &[&str])]) -> Declarations {
    let team = |(team, keys): &(&str, &[&str])| {
        let keys: BTreeSet<_> = keys.iter().map(|key| Digest::of(key.as_bytes())).collect();
        (name(team), Team { keys, ..Team::default() })
    };
    let teams: BTreeMap<_, _> = teams.iter().map(team).collect();
    Declarations { teams: Some(teams), ..Declarations::default() }
}

#[test]
fn a_key_identifies_the_team_that_holds_it() {
    let declarations = declare(&[("yard", &["a", "b"]), ("shop", &["c"])]);
    assert_eq!(declarations.team_of(&Digest::of(b"b")), Some(&name("yard")));
    assert_eq!(declarations.team_of(&Digest::of(b"c")), Some(&name("shop")));
    assert_eq!(declarations.team_of(&Digest::of(b"")), None);
    assert_eq!(Declarations::default().team_of(&Digest::of(b"a")), None);
}

/// Guards against a caller that could be taken for either of two teams.
#[test]
fn two_teams_with_one_key_are_invalid() {
    let declarations = declare(&[("shop", &["a"]), ("yard", &["a", "b"])]);
    let violations = declarations.violations();
    assert!(matches!(violations.as_slice(),
        [Violation::Value { path, allowed: Allowed::UniqueKeys }] if path[1] == "yard"));
}

#[test]
fn a_quota_is_a_finite_number_of_at_least_zero() {
    for (rate_per_s, burst, valid) in
        [(0.0, 0.0, true), (-1.0, 1.0, false), (1.0, f64::NAN, false), (f64::INFINITY, 1.0, false)]
    {
        let mut declarations = declare(&[("yard", &["a"])]);
        let team = declarations.teams.as_mut().unwrap().get_mut("yard").unwrap();
        team.quota = Some(Quota { rate_per_s, burst });
        assert_eq!(declarations.violations().is_empty(), valid, "{rate_per_s} {burst}");
    }
}

/// Guards against keys in the control log, in snapshots and in logs.
#[test]
fn the_canonical_text_has_digests_and_no_key() {
    let declarations = declare(&[("yard", &["bkf83fgfwrz56aw63is4"])]);
    let text = declarations.canonical();
    assert!(!text.contains("bkf83fgfwrz56aw63is4"));
    assert_eq!(Declarations::parse(&text).unwrap(), declarations);
    assert!("ab".parse::<Digest>().is_err());
}
