//! The load of a leader with many learners on standby.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use quorum::{Effect, Event, Replica, Settings, Stored, TICK_INTERVAL};
use wire::quorum::message::Body;
use wire::quorum::{Member, Members, Message};

const VOTERS: u64 = 5;
const MEMBERS: u64 = 26;

/// Replicas whose messages and writes take no time.
struct Net {
    now: Instant,
    replicas: BTreeMap<u64, Replica>,
    leader: u64,
    /// Number of applied commands of each member.
    applied: BTreeMap<u64, usize>,
    confirmed: usize,
    /// Messages of the leader, to voters and to learners.
    sent: [usize; 2],
}

impl Net {
    fn new() -> Self {
        let member = |id: u64| Member {
            id,
            name: format!("m{id}"),
            voter: id <= VOTERS,
            ..Member::default()
        };
        let members = Members { members: (1..=MEMBERS).map(member).collect() };
        let replica = |id| {
            let settings = Settings { max_voters: VOTERS as usize, ..Settings::new(id, id) };
            (id, Replica::new(Instant::ZERO, settings, Stored::default()))
        };
        let mut net = Self {
            now: Instant::ZERO,
            replicas: (1..=MEMBERS).map(replica).collect(),
            leader: 0,
            applied: BTreeMap::new(),
            confirmed: 0,
            sent: [0; 2],
        };
        for id in 1..=VOTERS {
            net.feed(id, Event::Bootstrap(members.clone()));
        }
        for _ in 0..200 {
            net.tick();
        }
        assert_ne!(net.leader, 0, "a leader is elected");
        net.sent = [0; 2];
        net
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        for id in 1..=MEMBERS {
            self.feed(id, Event::Tick);
        }
    }

    fn feed(&mut self, to: u64, event: Event) {
        let mut due = VecDeque::from([(to, event)]);
        while let Some((id, event)) = due.pop_front() {
            let mut effects = Vec::new();
            let Some(replica) = self.replicas.get_mut(&id) else { continue };
            replica.on(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Persist(write) => due.push_back((id, Event::Persisted(write.token))),
                    Effect::Send(message) => {
                        self.count(id, &message);
                        due.push_back((message.to, Event::Message(message)));
                    }
                    Effect::Apply(_) => *self.applied.entry(id).or_default() += 1,
                    Effect::Confirmed { .. } => self.confirmed += 1,
                    Effect::Leadership(leadership) if leadership.leads => self.leader = id,
                    _ => {}
                }
            }
        }
    }

    fn count(&mut self, from: u64, message: &Message) {
        if from == self.leader && matches!(message.body, Some(Body::Append(_))) {
            self.sent[usize::from(message.to > VOTERS)] += 1;
        }
    }
}

/// Guards against a leader that is busy with messages to members that no quorum waits for.
#[test]
fn reads_and_commands_cost_no_message_to_each_learner_on_standby() {
    let mut net = Net::new();
    let before = net.applied.clone();
    let (ticks, each) = (20, 10);
    for round in 0..ticks {
        for number in 0..each {
            let token = 1_000 + round * 100 + number;
            net.feed(net.leader, Event::Propose { token, command: vec![1].into() });
            net.feed(net.leader, Event::Read { token: token + 50, note: None });
        }
        net.tick();
    }
    (0..10).for_each(|_| net.tick());
    let [_, to_learners] = net.sent;
    // one message per tick in which the learner lacks something, and the heartbeats
    let limit = (ticks as usize + 2 + 10) * (MEMBERS - VOTERS) as usize;
    assert!(to_learners <= limit, "{to_learners} messages to learners, {limit} allowed");
    assert_eq!(net.confirmed, (ticks * each) as usize);
    for id in 1..=MEMBERS {
        let applied = net.applied[&id] - before.get(&id).copied().unwrap_or_default();
        assert_eq!(applied, (ticks * each) as usize, "member {id}");
    }
}

/// Guards against a learner that never catches up under load and so can't replace a voter.
#[test]
fn a_learner_on_standby_is_promoted_under_load_once_a_seat_is_free() {
    let mut net = Net::new();
    let lost = (1..=VOTERS).find(|id| *id != net.leader).expect("a voter");
    let change = quorum::Change::Remove(lost);
    net.feed(net.leader, Event::Change { token: 9_999, change });
    for token in 10_000..10_050 {
        net.feed(net.leader, Event::Propose { token, command: vec![1].into() });
        net.tick();
    }
    let members = &net.replicas[&net.leader].members().members;
    assert_eq!(members.iter().filter(|member| member.voter).count(), VOTERS as usize);
    assert!(members.iter().all(|member| member.id != lost));
}
