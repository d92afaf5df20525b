//! The order in which a front tries the keepers of a group.

use base::prelude::*;
use control::{Entry, Group, State};
use entry::front::choose::{Affinity, Caller, rank_keepers};
use wire::log::Lease;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A group kept by the given hosts, of which every second one is in the same zone.
fn state(hosts: &[&str]) -> State {
    let mut state = State::default();
    let mut group = Group::default();
    for (index, host) in hosts.iter().enumerate() {
        let zone = name(if index % 2 == 0 { "near" } else { "far" });
        let entry = Entry {
            incarnation: 1,
            address: ([127, 0, 0, 1], 5432).into(),
            web: None,
            zone,
            sole: true,
            weight: 1,
            draining: false,
        };
        state.entries.insert(name(host), entry);
        let lease = Lease { entry: (*host).to_owned(), incarnation: 1, ..Lease::default() };
        group.leases.push(lease);
    }
    state.groups.insert(name("stock"), group);
    state
}

fn first(state: &State, own: &str, team: &str, number: u64, affinity: Affinity) -> Name {
    let caller = Caller { number, team, affinity };
    rank_keepers(state, "stock", &name(own), &name("near"), caller)[0].name.clone()
}

/// Guards against requests of a team that reach several keepers, each of which would need
/// connections for it.
#[test]
fn all_requests_of_a_team_reach_one_keeper_from_every_host() {
    let state = state(&["host-0", "host-1"]);
    let mut chosen = [0, 0];
    for team in 0..84 {
        let team = format!("team-{team}");
        let keeper = first(&state, "host-0", &team, 1, Affinity::Team);
        for (own, number) in [("host-1", 2), ("host-7", 3)] {
            assert_eq!(first(&state, own, &team, number, Affinity::Team), keeper);
        }
        chosen[usize::from(keeper == name("host-1"))] += 1;
    }
    assert!(chosen.iter().all(|teams| *teams >= 30), "{chosen:?}");
}

/// Guards against teams that lose their connections because a keeper of others is lost.
#[test]
fn the_loss_of_a_keeper_moves_only_its_own_teams() {
    let (all, rest) = (state(&["host-0", "host-1", "host-2"]), state(&["host-0", "host-2"]));
    for team in 0..84 {
        let team = format!("team-{team}");
        let before = first(&all, "host-0", &team, 1, Affinity::Team);
        let after = first(&rest, "host-0", &team, 1, Affinity::Team);
        assert!(before == name("host-1") || before == after);
    }
}

/// Guards against traffic between zones for callers whose requests run on any connection.
#[test]
fn callers_without_a_team_prefer_the_own_host_and_zone() {
    let state = state(&["host-0", "host-1"]);
    for number in 0..20 {
        assert_eq!(first(&state, "host-1", "", number, Affinity::Team), name("host-1"));
        assert_eq!(first(&state, "host-7", "", number, Affinity::Team), name("host-0"));
    }
}

/// Guards against an affinity that ignores the preference that it is weighed against.
#[test]
fn an_affinity_to_the_zone_goes_before_the_hash_of_the_team() {
    let state = state(&["host-0", "host-1"]);
    for team in 0..20 {
        let team = format!("team-{team}");
        assert_eq!(first(&state, "host-1", &team, 1, Affinity::Zone), name("host-0"));
        assert_eq!(first(&state, "host-1", &team, 1, Affinity::Location), name("host-1"));
    }
}
