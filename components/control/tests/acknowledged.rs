//! A change of primary loses no record that was acknowledged, whatever servers answer.

mod unfenced;

use control::Phase;
use wire::control::Condition;

use unfenced::{Health, World};

impl World {
    /// The keeper `e1`, which has acknowledged nothing for long, seals, and `e2` ends without a
    /// seal: what it acknowledged is unknown.
    fn lose_a_seal(&mut self) {
        self.seal_at("e1", 90, 1);
        self.lose_keeper("e2");
    }

    /// The change waits for the only server that holds all records, and takes it once it is
    /// back.
    fn assert_waits_for(&mut self, server: &str) {
        self.pass(3_000);
        assert_eq!(self.phase(), Phase::Intended, "only {server} holds all records");
        self.set(server, Health::Up);
        self.pass(2_000);
        assert_eq!(self.primary(), Some(server));
    }
}

/// review/1: the answer of a replica that was leaving counted, but not its position.
#[test]
fn records_that_only_a_leaving_replica_holds_are_kept() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.announce("s1", true);
    world.crash();
    world.lose_a_seal();
    world.pass(900);
    assert_eq!(world.primary(), Some("s1"), "it alone holds all that was acknowledged");
    world.catch_up();
    world.pass(1_500);
    world.seal("e1", 90);
    world.pass(1_500);
    assert_eq!(world.primary(), Some("s2"), "it has caught up, and stays");
}

/// A primary that left was replaced by a replica that received nothing.
#[test]
fn a_leaving_primary_leads_until_a_replica_that_stays_has_its_records() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.announce("s1", true);
    world.announce("s0", true);
    world.pass(3_000);
    assert_eq!(world.primary(), Some("s0"));
    world.catch_up();
    world.pass(500);
    assert_eq!(world.phase(), Phase::Intended);
}

/// The old primary counted as an answer, but not its position.
#[test]
fn records_that_only_the_old_primary_holds_are_kept() {
    let mut world = World::new();
    world.set_position("s1", 90);
    world.set("s2", Health::Silent);
    world.crash();
    world.lose_a_seal();
    world.set("s0", Health::Up);
    world.pass(2_000);
    assert_eq!(world.primary(), Some("s0"));
}

/// The answers of the servers that were left proved what one that had left had received.
#[test]
fn records_that_a_replica_took_with_it_are_kept() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.announce("s1", true);
    world.depart("s1");
    world.start_empty("s3");
    world.crash();
    world.lose_a_seal();
    world.assert_waits_for("s0");
}

/// A replica that came back without its log counted as one that had none of the records.
#[test]
fn records_of_a_replica_that_came_back_empty_are_kept() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.start_empty("s1");
    world.crash();
    world.lose_a_seal();
    world.assert_waits_for("s0");
}

/// An old primary that came back without its log was taken again.
#[test]
fn an_old_primary_that_came_back_empty_is_not_chosen() {
    let mut world = World::new();
    world.set_position("s1", 90);
    world.set("s2", Health::Silent);
    world.crash();
    world.lose_a_seal();
    world.set_position("s0", 0);
    world.set("s0", Health::Up);
    world.assert_waits_for("s2");
}

#[test]
fn a_loss_that_another_replica_has_covered_delays_no_change() {
    let mut world = World::new();
    world.announce("s1", true);
    world.depart("s1");
    world.start_empty("s3");
    assert!(world.state.groups["g"].uncovered_index > 0);
    world.pass(2_000);
    assert_eq!(world.state.groups["g"].uncovered_index, 0, "s2 holds all records");
    world.crash();
    world.lose_a_seal();
    world.pass(1_500);
    assert_eq!(world.primary(), Some("s2"));
}

/// The records that a new primary had received alone counted as held by another server.
#[test]
fn records_that_only_a_new_primary_holds_are_kept() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.crash();
    world.depart("s0");
    world.seal("e1", 100);
    world.seal("e2", 100);
    world.pass(1_000);
    assert_eq!(world.primary(), Some("s1"));
    world.start_empty("s3");
    world.set("s1", Health::Refusing);
    world.symptom("e1", Condition::Refused);
    world.symptom("e2", Condition::Refused);
    world.pass(300);
    world.lose_a_seal();
    world.assert_waits_for("s1");
}

/// An old primary without any log counted as a proof that nothing had been acknowledged.
#[test]
fn an_empty_old_primary_and_an_empty_replica_prove_nothing() {
    let mut world = World::new();
    world.set_position("s1", 0);
    world.set("s2", Health::Silent);
    world.crash();
    world.seal_at("e1", 0, 1);
    world.lose_keeper("e2");
    world.set_position("s0", 0);
    world.set("s0", Health::Up);
    world.pass(3_000);
    assert_eq!(world.phase(), Phase::Intended, "the silent replica holds all records");
}

/// A report of a server counted after the server had started again without its log.
#[test]
fn a_report_of_an_earlier_start_is_not_believed() {
    let mut world = World::new();
    world.set_position("s2", 90);
    world.set("s2", Health::Silent);
    world.crash();
    world.lose_a_seal();
    world.pass(300);
    let term = world.state.groups["g"].term;
    world.set("s1", Health::Silent);
    world.start_empty("s1");
    world.set("s1", Health::Silent);
    world.set("s0", Health::Up);
    world.pass(2_000);
    assert_eq!(world.state.groups["g"].term, term, "the change did not begin again");
    assert_eq!(world.primary(), Some("s0"));
}
