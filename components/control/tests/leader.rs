//! Tests single decisions of a leader.

use base::prelude::*;
use control::lease::{LEASE_DURATION, LEASE_MARGIN};
use control::{Ask, Effect, Event, Flaw, Leader, Outcome, Refusal, State};
use wire::log::{Announce, Assign, Command, Configure, Establish, Expire, Join, Leave, command};

const TICK: Duration = control::leader::TICK;

fn wrap(body: command::Body) -> Command {
    Command { body: Some(body) }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn announce(server: &str, slots: u32) -> Announce {
    let index: u16 = server.trim_start_matches('s').parse().unwrap();
    Announce {
        server: server.to_owned(),
        incarnation: 1,
        group: "g".to_owned(),
        address: format!("127.0.0.1:{}", 7_000 + index),
        zone: "z".to_owned(),
        connections: 16,
        slots,
        ..Announce::default()
    }
}

fn join(entry: &str, incarnation: u64, zone: &str) -> Join {
    let address = "127.0.0.1:1".to_owned();
    Join {
        entry: entry.to_owned(),
        incarnation,
        address,
        zone: zone.to_owned(),
        web: String::new(),
        sole: false,
        weight: 0,
    }
}

/// A leader whose proposals are committed at once.
struct World {
    now: Instant,
    state: State,
    leader: Leader,
    proposed: Vec<command::Body>,
    probes: Vec<(Name, Ask)>,
}

impl World {
    fn new(slots: u32, elects: bool) -> Self {
        let mut world = Self {
            now: Instant::ZERO,
            state: State::default(),
            leader: Leader::new(Instant::ZERO),
            proposed: Vec::new(),
            probes: Vec::new(),
        };
        let content = format!(r#"{{"groups":{{"g":{{"servers":3,"elects":{elects}}}}}}}"#);
        let configure =
            Configure { change: "c".to_owned(), base: 0, content, patch: String::new() };
        world.commit(command::Body::Configure(configure));
        for server in ["s0", "s1", "s2"] {
            world.commit(command::Body::Announce(announce(server, slots)));
        }
        world
    }

    fn commit(&mut self, body: command::Body) -> Outcome {
        let index = self.state.index + 1;
        self.state.apply(index, &wrap(body))
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on(self.now, &self.state, event, &mut out);
        for effect in out {
            match effect {
                Effect::Propose(command) => {
                    let body = command.body.unwrap();
                    self.proposed.push(body.clone());
                    self.commit(body);
                    let index = self.state.index;
                    self.tell(Event::Applied { index });
                }
                Effect::Probe { server, ask, .. } => self.probes.push((server, ask)),
            }
        }
    }

    /// Advances the time by whole ticks. The entries in `heartbeats`, given with their
    /// incarnations, send heartbeats, and all servers announce themselves.
    fn pass(&mut self, time: Duration, heartbeats: &[(&str, u64)]) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for (entry, incarnation) in heartbeats {
                let (entry, incarnation) = (name(entry), *incarnation);
                let applied = self.state.index;
                let groups = self.state.groups.values();
                let returns = groups
                    .filter_map(|group| group.lease(entry.as_str()))
                    .any(|lease| lease.returning && lease.incarnation == incarnation);
                let returned = if returns { vec![name("g")] } else { Vec::new() };
                self.tell(Event::Heartbeat { entry, incarnation, applied, returned });
            }
            for server in ["s0", "s1", "s2"] {
                let renewed = self.state.servers[server].slots;
                self.tell(Event::Announced(announce(server, renewed)));
            }
            self.tell(Event::Tick);
        }
    }

    fn slots(&self, entry: &str) -> Vec<u32> {
        let lease = self.state.groups["g"].lease(entry).unwrap();
        lease.shares.iter().map(|share| share.slots).collect()
    }

    fn report(&mut self, server: &str, term: u64, role: Role) {
        let status = Status {
            server: name(server),
            incarnation: 1,
            term: Term(term),
            log_term: Term(term),
            received: Position(5),
            applied: Position(5),
            role,
            silence: Duration::ZERO,
            history: History::default(),
            version: 1,
        };
        let (group, server) = (name("g"), name(server));
        self.tell(Event::Probed { group, server, ask: Ask::Status, result: Ok(status) });
    }
}

#[test]
fn splits_two_slots_evenly_and_three_by_turns() {
    for (slots, totals) in [(2, [3, 3]), (3, [5, 4]), (1, [2, 1])] {
        let mut world = World::new(slots, false);
        world.tell(Event::Joined(join("e1", 1, "a")));
        world.tell(Event::Joined(join("e2", 1, "b")));
        world.pass(Duration::from_secs(2), &[("e1", 1), ("e2", 1)]);
        let mut found = ["e1", "e2"].map(|entry| world.slots(entry).iter().sum::<u32>());
        found.sort_by(|one, other| other.cmp(one));
        assert_eq!(found, totals);
    }
}

#[test]
fn gives_a_sole_entry_all_slots_until_another_joins() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    assert_eq!(world.slots("e1"), [2, 2, 2]);
    world.tell(Event::Joined(join("e2", 1, "b")));
    world.pass(Duration::from_secs(2), &[("e1", 1), ("e2", 1)]);
    assert_eq!((world.slots("e1"), world.slots("e2")), (vec![1, 1, 1], vec![1, 1, 1]));
}

#[test]
fn keeps_a_group_in_two_zones_where_it_can() {
    let mut world = World::new(2, false);
    for (entry, zone) in [("e1", "a"), ("e2", "a"), ("e3", "a"), ("e4", "b")] {
        world.tell(Event::Joined(join(entry, 1, zone)));
    }
    world.pass(Duration::from_secs(2), &[("e1", 1), ("e2", 1), ("e3", 1), ("e4", 1)]);
    let leases = &world.state.groups["g"].leases;
    assert_eq!(leases.len(), 2);
    assert!(leases.iter().any(|lease| lease.entry == "e4"));
}

#[test]
fn removes_a_silent_entry_only_after_lease_and_margin() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    world.pass(LEASE_DURATION + LEASE_MARGIN, &[]);
    assert!(world.state.entries.contains_key("e1"));
    world.pass(TICK * 3, &[]);
    assert!(!world.state.entries.contains_key("e1"));
    assert!(world.state.groups["g"].leases.is_empty());
}

#[test]
fn an_entry_that_was_removed_meanwhile_gets_no_lease() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.tell(Event::Joined(join("e2", 1, "a")));
    let group = &world.state.groups["g"];
    let lease = wire::log::Lease { entry: "e2".to_owned(), incarnation: 1, ..Default::default() };
    let assign = Assign { group: "g".to_owned(), base: group.generation, leases: vec![lease] };
    let departure = Leave { entry: "e2".to_owned(), incarnation: 1, over: false };
    world.commit(command::Body::Leave(departure));
    let outcome = world.commit(command::Body::Assign(assign));
    assert_eq!(outcome, Outcome::Refused(Refusal::Generation));
}

#[test]
fn waits_a_whole_lease_as_a_new_leader() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    world.pass(LEASE_DURATION, &[]);
    world.leader = Leader::new(world.now);
    world.pass(LEASE_DURATION, &[]);
    assert!(world.state.entries.contains_key("e1"));
}

#[test]
fn keeps_the_lease_of_a_restarted_entry_until_it_ran_out() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    world.tell(Event::Joined(join("e1", 2, "a")));
    world.pass(LEASE_DURATION, &[("e1", 2)]);
    assert_eq!(world.state.groups["g"].lease("e1").unwrap().incarnation, 1);
    world.pass(Duration::from_secs(1), &[("e1", 2)]);
    assert_eq!(world.state.groups["g"].lease("e1").unwrap().incarnation, 2);
}

/// Whether a new leader grants the shares of a removed incarnation while that
/// incarnation may still use them.
fn grants_early(flaw: Flaw) -> bool {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    let departure = Leave { entry: "e1".to_owned(), incarnation: 1, over: false };
    world.commit(command::Body::Leave(departure));
    world.leader = Leader::with_flaw(world.now, flaw);
    world.tell(Event::Joined(join("e2", 1, "a")));
    world.pass(LEASE_DURATION, &[("e2", 1)]);
    let early = world.state.groups["g"].lease("e2").is_some();
    world.pass(Duration::from_secs(2), &[("e2", 1)]);
    assert!(
        world.state.groups["g"].lease("e2").is_some(),
        "the lease is granted after the old one has expired"
    );
    assert!(world.state.departed.is_empty(), "removed incarnations are dropped from the state");
    early
}

#[test]
fn a_new_leader_waits_for_a_removed_incarnation_that_may_not_know_it() {
    assert!(!grants_early(Flaw::None));
}

#[test]
fn finds_a_new_leader_that_forgets_removed_incarnations() {
    assert!(grants_early(Flaw::ForgetDeparted));
}

#[test]
fn a_new_leader_grants_at_once_what_nobody_holds() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    let departure = Leave { entry: "e1".to_owned(), incarnation: 1, over: true };
    world.commit(command::Body::Leave(departure));
    world.leader = Leader::new(world.now);
    world.tell(Event::Joined(join("e2", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e2", 1)]);
    assert!(world.state.groups["g"].lease("e2").is_some());
}

#[test]
fn takes_the_lease_of_an_earlier_incarnation_that_is_known_to_have_ended() {
    let mut world = World::new(2, false);
    let sole = |incarnation| Join { sole: true, ..join("e1", incarnation, "a") };
    world.tell(Event::Joined(sole(1)));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    // an entry without a lease that restarts at the same time
    let other = |incarnation| Join { sole: true, ..join("e2", incarnation, "a") };
    world.commit(command::Body::Join(other(1)));
    world.leader = Leader::new(world.now);
    world.tell(Event::Tick);
    world.tell(Event::Joined(other(2)));
    world.tell(Event::Joined(sole(2)));
    world.pass(Duration::from_millis(500), &[("e1", 2), ("e2", 2)]);
    assert_eq!(world.state.groups["g"].lease("e1").unwrap().incarnation, 2);
}

#[test]
fn entries_of_low_weight_keep_groups_only_where_others_are_too_few() {
    let mut world = World::new(2, false);
    let weighs = |entry: &str, weight| Join { weight, ..join(entry, 1, "a") };
    world.tell(Event::Joined(weighs("weak", 2)));
    world.pass(Duration::from_secs(1), &[("weak", 1)]);
    assert!(world.state.groups["g"].lease("weak").is_some(), "the only entry gets the lease");
    for entry in ["strong-1", "strong-2"] {
        world.tell(Event::Joined(weighs(entry, 100)));
    }
    let heartbeats = [("weak", 1), ("strong-1", 1), ("strong-2", 1)];
    world.pass(Duration::from_secs(3), &heartbeats);
    let leases = &world.state.groups["g"].leases;
    let holders: Vec<_> = leases.iter().map(|lease| lease.entry.as_str()).collect();
    assert_eq!(holders, ["strong-1", "strong-2"]);
}

#[test]
fn takes_the_leases_of_an_entry_that_left_at_once() {
    let mut world = World::new(2, false);
    world.tell(Event::Joined(join("e1", 1, "a")));
    world.pass(Duration::from_secs(1), &[("e1", 1)]);
    world.tell(Event::Left { entry: name("e1"), incarnation: 1 });
    assert!(world.state.entries.is_empty());
}

#[test]
fn logs_no_renewal_and_expires_what_is_not_renewed() {
    let mut world = World::new(2, false);
    world.pass(Duration::from_secs(5), &[]);
    assert!(world.proposed.is_empty(), "{:?}", world.proposed);
    for _ in 0..200 {
        world.now += TICK;
        world.tell(Event::Tick);
    }
    assert!(world.state.servers.values().all(|server| server.expired));
    assert_eq!(world.state.groups["g"].seats.len(), 3);
    world.tell(Event::Announced(announce("s1", 2)));
    assert!(!world.state.servers["s1"].expired);
}

#[test]
fn refuses_announcements_that_contradict_the_state() {
    let mut world = World::new(2, false);
    let refused = |refusal| Outcome::Refused(refusal);
    let fourth = announce("s3", 2);
    assert_eq!(world.commit(command::Body::Announce(fourth)), refused(Refusal::Seats));
    let moved = Announce { address: "127.0.0.1:9".to_owned(), ..announce("s1", 2) };
    assert_eq!(world.commit(command::Body::Announce(moved.clone())), refused(Refusal::Address));
    let restarted = Announce { incarnation: 2, ..moved };
    assert_eq!(world.commit(command::Body::Announce(restarted)), Outcome::Applied);
    let old = announce("s1", 2);
    assert_eq!(world.commit(command::Body::Announce(old)), refused(Refusal::Incarnation));
}

#[test]
fn refuses_shares_beyond_a_limit_and_of_an_old_generation() {
    let mut world = World::new(2, false);
    let share = |connections| wire::log::Share { server: "s0".to_owned(), connections, slots: 1 };
    let lease = |entry: &str, connections| wire::log::Lease {
        entry: entry.to_owned(),
        incarnation: 1,
        shares: vec![share(connections)],
        returning: false,
    };
    let assign =
        |base, leases| command::Body::Assign(Assign { group: "g".to_owned(), base, leases });
    let over = world.commit(assign(0, vec![lease("e1", 6), lease("e2", 7)]));
    assert_eq!(over, Outcome::Refused(Refusal::Limit));
    let fits = world.commit(assign(0, vec![lease("e1", 6), lease("e2", 6)]));
    assert_eq!(fits, Outcome::Applied);
    let stale = world.commit(assign(0, vec![lease("e1", 6)]));
    assert_eq!(stale, Outcome::Refused(Refusal::Generation));
}

#[test]
fn adopts_the_primary_that_a_majority_follows() {
    for elects in [false, true] {
        let mut world = World::new(2, elects);
        world.report("s0", 4, Role::Primary);
        world.report("s1", 4, Role::Replica);
        let group = &world.state.groups["g"];
        assert_eq!((group.primary.clone(), group.term), (Some(name("s0")), Term(4)));
    }
}

#[test]
fn only_follows_a_group_that_elects() {
    let mut world = World::new(2, true);
    let establish = Establish { group: "g".to_owned(), term: 4, server: "s0".to_owned() };
    world.commit(command::Body::Establish(establish));
    for _ in 0..100 {
        let (group, server) = (name("g"), name("s0"));
        let result = Err(control::ProbeError::Refused);
        world.tell(Event::Probed { group, server, ask: Ask::Status, result });
        world.report("s1", 4, Role::Replica);
        world.report("s2", 4, Role::Replica);
        world.pass(TICK, &[]);
    }
    assert!(world.probes.iter().all(|(_, ask)| *ask == Ask::Status));
    assert_eq!(world.state.groups["g"].term, Term(4));
    world.report("s1", 5, Role::Primary);
    world.report("s2", 5, Role::Replica);
    assert_eq!(world.state.groups["g"].primary, Some(name("s1")));
}

#[test]
fn drops_the_seats_of_lost_servers_first_and_never_the_primarys() {
    let mut world = World::new(2, false);
    let establish = Establish { group: "g".to_owned(), term: 4, server: "s2".to_owned() };
    world.commit(command::Body::Establish(establish));
    let expire = wire::log::Expire { server: "s0".to_owned(), incarnation: 1, left: false };
    world.commit(command::Body::Expire(expire));
    for (base, left) in [(1, vec!["s1", "s2"]), (2, vec!["s2"])] {
        let content = format!(r#"{{"groups":{{"g":{{"servers":{}}}}}}}"#, left.len());
        let configure =
            Configure { change: format!("c{base}"), base, content, patch: String::new() };
        world.commit(command::Body::Configure(configure));
        let seats = world.state.groups["g"].seats.iter();
        assert_eq!(seats.map(Name::as_str).collect::<Vec<_>>(), left);
    }
}

/// Commits a command that changes nothing.
fn apply_any(world: &mut World) {
    world.commit(command::Body::Join(join("e0", 1, "z")));
    let index = world.state.index;
    world.tell(Event::Applied { index });
}

#[test]
fn a_burst_of_applied_commands_leads_to_one_pass_over_all_groups() {
    let mut world = World::new(6, false);
    for (entry, zone) in [("e0", "z"), ("e1", "y")] {
        world.commit(command::Body::Join(join(entry, 1, zone)));
    }
    world.tell(Event::Tick);
    // the wait for more entries ends between two ticks, while many commands are applied
    world.now += control::planner::JOIN_WAIT.saturating_sub(Duration::from_millis(5));
    world.tell(Event::Tick);
    let assigned = |world: &World| {
        world.proposed.iter().filter(|body| matches!(body, command::Body::Assign(_))).count()
    };
    for _ in 0..8 {
        world.now += Duration::from_millis(2);
        apply_any(&mut world);
    }
    assert_eq!(assigned(&world), 0, "a command looked at all groups");
    world.now += Duration::from_millis(4);
    apply_any(&mut world);
    assert_eq!(assigned(&world), 1);
}

/// Number of unfenced groups that are set up at the same time.
const MANY_GROUPS: usize = 40;

/// A state with new unfenced groups of one server each.
fn many_groups() -> State {
    let mut state = State::default();
    let groups: Vec<_> = (0..MANY_GROUPS)
        .map(|group| format!(r#""g{group}":{{"servers":1,"acknowledges":true}}"#))
        .collect();
    let content = format!(r#"{{"groups":{{{}}}}}"#, groups.join(","));
    let configure = Configure { change: "c".to_owned(), base: 0, content, patch: String::new() };
    state.apply(1, &wrap(command::Body::Configure(configure)));
    for index in 0..MANY_GROUPS {
        let announce = Announce { group: format!("g{index}"), ..announce(&format!("s{index}"), 2) };
        state.apply(state.index + 1, &wrap(command::Body::Announce(announce)));
    }
    state
}

fn primary_status(server: &Name) -> Status {
    Status {
        server: server.clone(),
        incarnation: 1,
        term: Term(1),
        log_term: Term(1),
        received: Position(5),
        applied: Position(5),
        role: Role::Primary,
        silence: Duration::ZERO,
        history: History::default(),
        version: 1,
    }
}

#[test]
fn commands_of_other_groups_make_no_group_propose_again() {
    let mut state = many_groups();
    let mut now = Instant::from_millis(1_000);
    let mut leader = Leader::new(now);
    let mut out = Vec::new();
    leader.on(now, &state, Event::Tick, &mut out);
    let mut due = Vec::new();
    let mut establishes = 0;
    for effect in out.split_off(0) {
        if let Effect::Probe { group, server, ask: Ask::Status, .. } = effect {
            let result = Ok(primary_status(&server));
            let probed = Event::Probed { group, server, ask: Ask::Status, result };
            leader.on(now, &state, probed, &mut out);
        }
    }
    // all groups wait for their own command while those of the others are applied
    loop {
        for effect in out.split_off(0) {
            if let Effect::Propose(command) = effect
                && matches!(command.body, Some(command::Body::Establish(_)))
            {
                establishes += 1;
                due.push(command);
            }
        }
        if due.is_empty() {
            break;
        }
        now += Duration::from_millis(5);
        let index = state.index + 1;
        state.apply(index, &due.remove(0));
        leader.on(now, &state, Event::Applied { index }, &mut out);
    }
    assert_eq!(establishes, MANY_GROUPS);
    assert!(state.groups.values().all(|group| group.primary.is_some()));
}

#[test]
fn an_entry_that_asks_to_join_again_while_its_join_is_open_leads_to_one_command() {
    let state = State::default();
    let mut leader = Leader::new(Instant::ZERO);
    let mut proposals = |millis, incarnation| {
        let mut out = Vec::new();
        let joined = Event::Joined(join("e0", incarnation, "z"));
        leader.on(Instant::from_millis(millis), &state, joined, &mut out);
        out.len()
    };
    assert_eq!((proposals(0, 1), proposals(400, 1)), (1, 0));
    assert_eq!(proposals(410, 2), 1, "the entry has restarted");
    assert_eq!(proposals(1_000, 2), 1, "the first command may be lost");
}

#[test]
fn a_late_announcement_brings_no_server_back_that_left_before_the_leader_started() {
    let mut world = World::new(2, false);
    let expire = Expire { server: "s1".to_owned(), incarnation: 1, left: true };
    world.commit(command::Body::Expire(expire));
    // all members restart: the state comes from an image, and the leader knows nothing else
    world.state = State::decode(&world.state.encode()).expect("an image");
    world.leader = Leader::new(world.now);
    world.tell(Event::Announced(announce("s1", 2)));
    assert!(!world.state.servers.contains_key("s1"), "an announcement that was held up");
    let restarted = Announce { incarnation: 2, ..announce("s1", 2) };
    world.tell(Event::Announced(restarted));
    assert!(world.state.servers.contains_key("s1"), "the server was started again");
}

#[test]
fn only_the_newest_of_many_servers_that_left_are_remembered() {
    let mut state = State::default();
    let content = r#"{"groups":{"g":{"servers":3}}}"#.to_owned();
    let configure = Configure { change: "c".to_owned(), base: 0, content, patch: String::new() };
    state.apply(1, &wrap(command::Body::Configure(configure)));
    for index in 0..1_100 {
        let server = format!("s{index}");
        let announced = command::Body::Announce(announce(&server, 2));
        state.apply(state.index + 1, &wrap(announced));
        let expire = Expire { server, incarnation: 1, left: true };
        state.apply(state.index + 1, &wrap(command::Body::Expire(expire)));
    }
    assert_eq!(state.retired.len(), 1_024);
    assert!(state.has_retired(&name("s1099"), 1) && !state.has_retired(&name("s0"), 1));
}
