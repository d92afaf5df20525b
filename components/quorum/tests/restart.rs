//! All members restart at once, as after a loss of power: how long until one leads.

use std::collections::BTreeMap;

use base::mechanism::{Mechanism, Without};
use base::prelude::*;
use quorum::{Effect, Event, Hard, Replica, Settings, Snapshot, Stored, TICK_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::quorum::{Member, Members, Message};

const VOTERS: u64 = 3;

/// One-way latency of a message, and the time of a sync.
const LATENCY: Duration = Duration::from_millis(2);

/// Longest time between the starts of two members.
const START_SPREAD: Duration = Duration::from_millis(60);

/// Time from which on a leader after a total restart is late: hosts that come back need
/// their leases within a second, of which processes and connections take most.
const LEADER_TARGET: Duration = Duration::from_millis(150);

fn stored() -> Stored {
    let member = |id| Member { id, name: format!("m{id}"), voter: true, ..Member::default() };
    let members = Members { members: (1..=VOTERS).map(member).collect() };
    let snapshot = Snapshot { index: 10, term: 3, members, data: bytes::Bytes::new() };
    Stored { hard: Hard { term: 3, vote: 0 }, snapshot, entries: Vec::new() }
}

/// Time from the start of the second member, which makes a quorum, until a member leads.
fn time_to_leader(seed: u64, without: Without) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut starts: Vec<(u64, Instant)> =
        (1..=VOTERS).map(|id| (id, Instant::ZERO + START_SPREAD.mul_f64(rng.random()))).collect();
    starts.sort_by_key(|(_, at)| *at);
    let quorum_at = starts[1].1;
    let mut replicas: BTreeMap<u64, Replica> = BTreeMap::new();
    let mut due: Vec<(Instant, u64, Event)> = Vec::new();
    let mut now = Instant::ZERO;
    while now < Instant::from_millis(5_000) {
        now += Duration::from_millis(1);
        for (id, at) in &starts {
            if *at <= now && !replicas.contains_key(id) {
                let settings = Settings { without, ..Settings::new(*id, seed * 10 + id) };
                replicas.insert(*id, Replica::new(now, settings, stored()));
            }
        }
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, ..)| *at <= now);
        due = later;
        let ticks = now.as_micros().is_multiple_of(TICK_INTERVAL.as_micros() as u64);
        let ids: Vec<u64> = replicas.keys().copied().collect();
        let ticked = ids.into_iter().filter(|_| ticks).map(|id| (now, id, Event::Tick));
        for (_, id, event) in ready.into_iter().chain(ticked) {
            // a message to a member that has not started is lost
            let Some(replica) = replicas.get_mut(&id) else { continue };
            let mut effects = Vec::new();
            replica.on(now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Leadership(leadership) if leadership.leads => {
                        return now.since(quorum_at);
                    }
                    Effect::Persist(write) => {
                        due.push((now + LATENCY, id, Event::Persisted(write.token)));
                    }
                    Effect::Send(message) => due.push(delivery(now, message)),
                    _ => {}
                }
            }
        }
    }
    panic!("no leader with seed {seed}");
}

fn delivery(now: Instant, message: Message) -> (Instant, u64, Event) {
    (now + LATENCY, message.to, Event::Message(message))
}

#[test]
fn a_member_leads_soon_after_all_have_restarted() {
    let times: Vec<Duration> =
        (0..200).map(|seed| time_to_leader(seed, Without::default())).collect();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    let late = times.iter().filter(|time| **time > LEADER_TARGET).count();
    assert!(mean < LEADER_TARGET / 2, "{mean:?} on average");
    assert!(late <= times.len() / 20, "{late} of {} are late", times.len());
}

#[test]
fn without_the_early_election_a_member_waits_for_a_whole_timeout() {
    let without = Without::default().and(Mechanism::EarlyElection);
    let early = (0..20).filter(|seed| time_to_leader(*seed, without) < LEADER_TARGET / 2);
    assert!(early.count() <= 2);
}
