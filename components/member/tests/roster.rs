//! Automatic membership changes: new hosts are added, silent members are removed.

use base::prelude::*;
use member::roster::{LEARNER_TIMEOUT, Roster, VOTER_TIMEOUT};
use quorum::Change;
use wire::quorum::{Member, Members};

const NOW: Instant = Instant::from_millis(60_000);

fn member(id: u64, voter: bool) -> Member {
    Member { id, name: format!("host-{id}"), voter, ..Member::default() }
}

fn members(voters: u64, learners: u64) -> Members {
    let voting = (1..=voters).map(|id| member(id, true));
    let learning = (voters + 1..=voters + learners).map(|id| member(id, false));
    Members { members: voting.chain(learning).collect() }
}

fn next(tolerance: usize, members: &Members, silences: &[(u64, Duration)]) -> Option<Change> {
    Roster::new(Some(tolerance)).next(NOW, members, silences)
}

#[test]
fn a_newcomer_is_added_and_a_member_that_asks_is_not() {
    let mut roster = Roster::new(Some(1));
    roster.record_request(NOW, member(2, false));
    assert_eq!(roster.next(NOW, &members(3, 0), &[]), None);
    roster.record_request(NOW, member(9, false));
    assert_eq!(roster.next(NOW, &members(3, 0), &[]), Some(Change::Add(member(9, false))));
}

#[test]
fn a_request_to_join_is_forgotten_in_time() {
    let mut roster = Roster::new(Some(1));
    roster.record_request(NOW, member(9, false));
    let later = NOW + Duration::from_secs(10);
    assert_eq!(roster.next(later, &members(3, 0), &[]), None);
}

#[test]
fn a_silent_voter_stays_if_its_removal_lowers_the_tolerance() {
    assert_eq!(next(1, &members(3, 0), &[(2, VOTER_TIMEOUT * 9)]), None);
    assert_eq!(next(2, &members(5, 0), &[(2, VOTER_TIMEOUT * 9)]), None);
}

#[test]
fn a_silent_voter_is_removed_where_enough_others_vote() {
    let gone = Some(Change::Remove(2));
    assert_eq!(next(1, &members(4, 0), &[(2, VOTER_TIMEOUT)]), gone);
    assert_eq!(next(2, &members(6, 0), &[(2, VOTER_TIMEOUT)]), gone);
    let short = VOTER_TIMEOUT.saturating_sub(Duration::from_millis(1));
    assert_eq!(next(2, &members(6, 0), &[(2, short)]), None);
}

#[test]
fn a_silent_voter_is_removed_once_a_live_learner_can_replace_it() {
    assert_eq!(next(1, &members(3, 1), &[(2, VOTER_TIMEOUT)]), Some(Change::Remove(2)));
    let silences = [(2, VOTER_TIMEOUT), (4, VOTER_TIMEOUT)];
    assert_eq!(next(1, &members(3, 1), &silences), None, "the learner is silent too");
}

#[test]
fn a_silent_learner_is_removed() {
    let change = next(1, &members(3, 1), &[(4, LEARNER_TIMEOUT)]);
    assert_eq!(change, Some(Change::Remove(4)));
}
