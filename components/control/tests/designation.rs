//! Tests the change of primary in an unfenced group, whose servers acknowledge
//! commits by themselves.

mod unfenced;

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use control::lease::LEASE_DURATION;
use control::{Leader, Leadership, Phase};
use wire::control::Condition;
use wire::log::{Leave, command};

use unfenced::{Health, TOKEN, World, name};

#[test]
fn replaces_a_crashed_primary_once_all_keepers_have_sealed() {
    let mut world = World::new();
    world.crash();
    world.seal("e1", 100);
    world.pass(500);
    assert_eq!(world.phase(), Phase::Intended, "the other keeper may still pass on answers");
    world.seal("e2", 100);
    world.pass(500);
    assert!(matches!(world.primary(), Some("s1" | "s2")));
}

#[test]
fn chooses_the_server_with_the_highest_position() {
    let mut world = World::new();
    world.set_position("s1", 99);
    world.set_position("s2", 100);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 98);
    world.pass(500);
    assert_eq!(world.primary(), Some("s2"));
}

#[test]
fn waits_rather_than_lose_what_was_acknowledged() {
    let mut world = World::new();
    world.set_position("s1", 90);
    world.set("s2", Health::Silent);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 95);
    world.pass(3_000);
    assert_eq!(world.phase(), Phase::Intended);
    world.set("s2", Health::Up);
    world.pass(1_500);
    assert_eq!(world.primary(), Some("s2"));
}

#[test]
fn takes_a_single_server_that_holds_all_that_was_acknowledged() {
    let mut world = World::new();
    world.set("s2", Health::Refusing);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 99);
    world.pass(1_000);
    assert_eq!(world.primary(), Some("s1"));
}

#[test]
fn does_not_trust_the_seals_after_a_keeper_vanished() {
    let mut world = World::new();
    world.set("s2", Health::Refusing);
    world.crash();
    world.seal("e1", 100);
    world.heartbeats = vec![("e1", 1)];
    // what e2 acknowledged is unknown, and the only replica may lack it
    world.commit(command::Body::Leave(Leave {
        entry: "e2".to_owned(),
        incarnation: 1,
        over: true,
    }));
    world.pass(3_000);
    assert_eq!(world.phase(), Phase::Intended);
    world.set("s2", Health::Up);
    world.pass(1_500);
    assert!(world.primary().is_some(), "two servers together hold all acknowledged records");
}

#[test]
fn goes_on_without_a_keeper_whose_lease_is_over() {
    let mut world = World::new();
    world.crash();
    world.heartbeats = vec![("e1", 1)];
    world.seal("e1", 100);
    world.pass(1_500);
    assert_eq!(world.phase(), Phase::Intended, "the lease of e2 may still be in force");
    world.pass(2_500);
    assert!(world.primary().is_some());
}

#[test]
fn a_new_leader_waits_for_a_removed_keeper_that_may_not_know_it() {
    let mut world = World::new();
    world.crash();
    world.heartbeats = vec![("e1", 1)];
    // the earlier leader removed e2; e2 may not know of it yet, and the earlier leader
    // may have confirmed a heartbeat of e2 after the removal
    let departure = Leave { entry: "e2".to_owned(), incarnation: 1, over: false };
    world.commit(command::Body::Leave(departure));
    world.leader = Leader::with_leadership(
        world.now,
        Leadership { token: TOKEN + 1, last_chosen: None, ..Leadership::default() },
    );
    world.seal("e1", 100);
    world.pass(1_500);
    assert_eq!(world.phase(), Phase::Intended, "the lease of e2 may still be in force");
    world.pass(2_500);
    assert!(world.primary().is_some());
}

#[test]
fn designates_under_its_own_token_until_the_server_leads() {
    let mut world = World::new();
    world.accepts_designation = false;
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(1_500);
    assert!(world.designated.len() >= 2, "a designation may be lost and must be repeated");
    assert!(world.designated.iter().all(|(_, token)| *token == TOKEN));
    assert_eq!(world.primary(), None);
    world.accepts_designation = true;
    world.pass(1_000);
    assert!(world.primary().is_some());
}

#[test]
fn a_new_leader_waits_until_designations_of_the_old_one_have_timed_out() {
    let mut world = World::new();
    world.accepts_designation = false;
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(500);
    assert!(matches!(world.phase(), Phase::Chosen { .. }));
    let leadership =
        Leadership { token: TOKEN + 1, last_chosen: Some(world.now), ..Leadership::default() };
    world.leader = Leader::with_leadership(world.now, leadership);
    world.designated.clear();
    world.pass(LEASE_DURATION.as_millis() as u64 - 200);
    assert!(world.designated.is_empty());
    world.pass(1_000);
    assert_eq!(world.designated.first().map(|(_, token)| *token), Some(TOKEN + 1));
}

#[test]
fn a_new_leader_waits_for_repeated_designations_of_a_choice_that_is_old() {
    let mut world = World::new();
    world.accepts_designation = false;
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    // the old leader repeats its designations until it is replaced, long after the choice
    world.pass(2_500);
    assert!(matches!(world.phase(), Phase::Chosen { .. }));
    let leadership = Leadership { token: TOKEN + 1, last_chosen: None, ..Leadership::default() };
    world.leader = Leader::with_leadership(world.now, leadership);
    world.designated.clear();
    world.pass(LEASE_DURATION.as_millis() as u64 - 200);
    assert!(world.designated.is_empty(), "{:?}", world.designated);
    world.pass(1_000);
    assert_eq!(world.designated.first().map(|(_, token)| *token), Some(TOKEN + 1));
}

#[test]
fn replaces_a_primary_that_leaves_by_one_that_stays() {
    let mut world = World::new();
    world.announce("s0", true);
    world.announce("s1", true);
    world.pass(500);
    assert_eq!(world.phase(), Phase::Intended);
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(500);
    assert_eq!(world.primary(), Some("s2"));
}

#[test]
fn replaces_a_primary_that_all_keepers_report_as_silent() {
    let mut world = World::new();
    for _ in 0..3 {
        if world.primary().is_some() {
            world.symptom("e1", Condition::Silent);
            world.symptom("e2", Condition::Silent);
        }
        world.pass(500);
    }
    assert_eq!(world.phase(), Phase::Intended);
}

#[test]
fn keeps_a_primary_that_one_keeper_reports_as_silent() {
    let mut world = World::new();
    for _ in 0..6 {
        world.symptom("e1", Condition::Silent);
        world.pass(500);
    }
    assert_eq!(world.primary(), Some("s0"));
}

#[test]
fn keeps_a_primary_that_is_only_slow_to_answer_the_leader() {
    let mut world = World::new();
    world.set("s0", Health::Silent);
    world.pass(3_000);
    assert_eq!(world.primary(), Some("s0"));
}

#[test]
fn takes_the_old_primary_again_when_it_alone_holds_all() {
    let mut world = World::new();
    world.set_position("s1", 90);
    world.set_position("s2", 90);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(1_000);
    assert_eq!(world.phase(), Phase::Intended);
    world.set("s0", Health::Up);
    world.pass(3_000);
    assert_eq!(world.primary(), Some("s0"));
}

/// A suspended keeper: its connections stay open, and the next keeper takes what is left.
#[test]
fn the_servers_of_a_suspended_keeper_are_probed_before_its_leases_move() {
    let mut world = World::new();
    world.silence_a_keeper();
    assert!(world.state.groups["g"].lease("e2").is_some(), "the lease is not over yet");
    for server in ["s0", "s1", "s2"] {
        assert!(world.asked.contains(&name(server)), "{server} was not probed");
    }
    assert!(world.asked.len() <= 6, "{} probes in a second", world.asked.len());
    assert_eq!(world.primary(), Some("s0"));
}

#[test]
fn the_servers_of_a_healthy_group_are_not_probed() {
    let mut world = World::new();
    world.pass_renewed(2_000);
    world.asked.clear();
    world.pass_renewed(2_000);
    assert_eq!(world.asked, Vec::<Name>::new());
}

#[test]
fn without_suspicion_the_servers_of_a_silent_keeper_are_not_probed() {
    let mut world = World::new();
    let without = Without::default().and(Mechanism::SuspectProbes);
    let leadership = Leadership { token: TOKEN, without, ..Leadership::default() };
    world.leader = Leader::with_leadership(world.now, leadership);
    world.silence_a_keeper();
    assert_eq!(world.asked, Vec::<Name>::new());
}

/// The primary is cut off and replaced, and the next one crashes at once. The old primary,
/// which was never stepped down, is chosen again.
fn choose_the_old_primary_again() -> World {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(500);
    assert_eq!(world.primary(), Some("s1"));
    world.set("s0", Health::Up);
    world.set("s1", Health::Refusing);
    world.symptom("e1", Condition::Refused);
    world.symptom("e2", Condition::Refused);
    world.accepts_designation = false;
    world.pass(300);
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(500);
    assert!(matches!(world.phase(), Phase::Chosen { server, .. } if server.as_str() == "s0"));
    world
}

/// review/2: an old primary that was chosen again counted as promoted by its role alone.
#[test]
fn an_old_primary_that_is_chosen_again_gets_no_work_before_it_is_promoted() {
    let mut world = choose_the_old_primary_again();
    assert_eq!(world.primary(), None, "it still leads its old term");
    world.accepts_designation = true;
    world.pass(1_000);
    assert_eq!(world.primary(), Some("s0"));
}

/// A designation of the present primary changes nothing, so that its term never rises.
#[test]
fn a_server_whose_term_does_not_rise_is_the_present_primary_in_the_end() {
    let mut world = choose_the_old_primary_again();
    world.pass(3_000);
    assert_eq!(world.primary(), None, "a designation of s1 may still take effect");
    world.pass(2_500);
    assert_eq!(world.primary(), Some("s0"));
}

#[test]
fn a_primary_that_is_chosen_again_at_once_needs_no_new_term() {
    let mut world = World::new();
    world.set_position("s1", 90);
    world.set_position("s2", 90);
    world.crash();
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.accepts_designation = false;
    world.set("s0", Health::Up);
    world.pass(2_000);
    assert_eq!(world.primary(), Some("s0"), "no other server was chosen");
}
