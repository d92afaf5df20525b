//! 84 teams of skew 1.2, one of them at 7.5 times its rate, share the connections to three
//! servers. Compared with plain LRU and with one pool for each team.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use base::prelude::Instant;
use base::rendezvous;
use pool::{Choice, Gain, Holding, Idle, Load, Usage, choose_victim, place, should_open, urgency};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TEAMS: usize = 84;
const SERVERS: usize = 3;
const SLOTS: u32 = 4;
const OPENING: Duration = Duration::from_millis(12);
const RUN: Duration = Duration::from_millis(14);
const CLOSING: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(2);
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Part of the requests that only the first server, the primary, runs.
const PRIMARY_ONLY: f64 = 0.3;

/// How connections are shared between teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The decisions of the crate.
    Pool,
    /// As [`Policy::Pool`], but the least recently used connection is closed.
    LruEviction,
    /// A connection is opened whenever no idle one of the team exists, on the server with
    /// most free slots, and the least recently used one is closed for it.
    Lru,
    /// No connection is closed for another team; idle ones are closed after 10 s.
    PerTeam,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening(Instant),
    Idle(Instant),
    Busy(Instant),
    Closing(Instant, usize),
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    server: usize,
    team: usize,
    state: State,
    used: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    team: usize,
    primary: bool,
    arrived: Instant,
}

/// Measured over the second half of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    /// Part of the served requests that were sent on a connection used before.
    hits: f64,
    /// Part of the slot time in use that openings took.
    opening: f64,
    /// Part of the requests that were served.
    served: f64,
    /// Requests that were served.
    sent: u64,
    /// Hits of the teams other than the one with the raised rate.
    others: f64,
}

struct Pools {
    policy: Policy,
    limit: usize,
    now: Instant,
    conns: Vec<Conn>,
    queue: VecDeque<Request>,
    usage: HashMap<(usize, usize), Usage>,
    /// Rank of each server for each team.
    ranks: Vec<[u64; SERVERS]>,
    hits: u64,
    sent: u64,
    opened: u64,
    lost: u64,
    of_others: (u64, u64),
    surge: usize,
}

impl Pools {
    fn new(policy: Policy, limit: usize, surge: usize) -> Self {
        Self {
            policy,
            limit,
            now: Instant::from_millis(1_000),
            conns: Vec::new(),
            queue: VecDeque::new(),
            usage: HashMap::new(),
            ranks: (0..TEAMS).map(ranks).collect(),
            hits: 0,
            sent: 0,
            opened: 0,
            lost: 0,
            of_others: (0, 0),
            surge,
        }
    }

    fn free(&self, server: usize) -> u32 {
        let used = |conn: &&Conn| {
            conn.server == server && matches!(conn.state, State::Opening(_) | State::Busy(_))
        };
        SLOTS - self.conns.iter().filter(used).count() as u32
    }

    fn idle_of(&self, server: usize, team: usize) -> Option<usize> {
        let is_idle = |conn: &Conn| matches!(conn.state, State::Idle(_));
        let is_own = |conn: &Conn| conn.server == server && conn.team == team;
        self.conns.iter().position(|conn| is_own(conn) && is_idle(conn))
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(1);
        let (now, policy) = (self.now, self.policy);
        for conn in &mut self.conns {
            match conn.state {
                State::Opening(until) | State::Busy(until) if until <= now => {
                    conn.state = State::Idle(now);
                }
                State::Idle(since)
                    if policy == Policy::PerTeam && now.since(since) > IDLE_LIMIT =>
                {
                    conn.state = State::Closing(now + CLOSING, TEAMS);
                }
                _ => {}
            }
        }
        self.conns.retain(|conn| !matches!(conn.state, State::Closing(until, _) if until <= now));
        let waiting = std::mem::take(&mut self.queue);
        for request in waiting {
            if now.since(request.arrived) > DEADLINE {
                self.lost += 1;
            } else if !self.offer(request) {
                self.queue.push_back(request);
            }
        }
    }

    /// Sends a request if possible; opens a connection for it if not.
    fn offer(&mut self, request: Request) -> bool {
        let servers = if request.primary { 0..1 } else { 1..SERVERS };
        let loads: Vec<_> = servers
            .map(|server| Load {
                server,
                rank: match self.policy {
                    Policy::Pool | Policy::LruEviction => self.ranks[request.team][server],
                    Policy::Lru | Policy::PerTeam => u64::from(self.free(server)),
                },
                used: SLOTS - self.free(server),
                free: self.free(server),
                ready: self.idle_of(server, request.team).is_some(),
            })
            .collect();
        match place(&loads) {
            Some(Choice::Use(server)) => {
                self.send(server, request.team);
                true
            }
            Some(Choice::Open(server)) => {
                self.open(server, request);
                false
            }
            None => false,
        }
    }

    fn send(&mut self, server: usize, team: usize) {
        let index = self.idle_of(server, team).expect("an idle connection");
        let conn = &mut self.conns[index];
        conn.state = State::Busy(self.now + RUN);
        let hit = u64::from(std::mem::replace(&mut conn.used, true));
        self.hits += hit;
        self.sent += 1;
        if team != self.surge {
            self.of_others = (self.of_others.0 + hit, self.of_others.1 + 1);
        }
        let urgency = urgency(1, Some(Duration::from_millis(250)));
        self.usage.entry((server, team)).or_default().record(self.now, urgency);
    }

    fn open(&mut self, server: usize, request: Request) {
        let team = request.team;
        let own = self.conns.iter().filter(|conn| conn.server == server && conn.team == team);
        let busy = own.clone().filter(|conn| matches!(conn.state, State::Busy(_))).count() as u32;
        let opening = own.filter(|conn| matches!(conn.state, State::Opening(_))).count();
        let rooms = |conn: &&Conn| {
            conn.server == server && matches!(conn.state, State::Closing(_, of) if of == team)
        };
        let opening = (opening + self.conns.iter().filter(rooms).count()) as u32;
        let alike = |other: &&Request| other.team == team && other.primary == request.primary;
        let waiting = self.queue.iter().filter(alike).count() as u32 + 1;
        let opens = match self.policy {
            Policy::Pool | Policy::LruEviction => {
                should_open(Holding { busy, opening }, waiting, RUN, OPENING)
            }
            Policy::Lru | Policy::PerTeam => opening < waiting,
        };
        if !opens {
            return;
        }
        if self.conns.iter().filter(|conn| conn.server == server).count() < self.limit {
            let state = State::Opening(self.now + OPENING);
            self.conns.push(Conn { server, team, state, used: false });
            self.opened += 1;
            return;
        }
        let held = busy + opening;
        let gain = match self.policy {
            Policy::PerTeam => return,
            Policy::Pool if held > 0 => Gain::Further(self.value(server, team, held + 1)),
            Policy::Pool | Policy::LruEviction | Policy::Lru => Gain::Required,
        };
        if let Some(victim) = choose_victim(team, gain, self.idle(server)) {
            self.conns[victim].state = State::Closing(self.now + CLOSING, team);
        }
    }

    fn value(&self, server: usize, team: usize, held: u32) -> f64 {
        let usage = self.usage.get(&(server, team)).copied().unwrap_or_default();
        usage.value(self.now, held, RUN)
    }

    fn idle(&self, server: usize) -> Vec<Idle<usize, usize>> {
        let held = |team| {
            let own = |conn: &&Conn| conn.server == server && conn.team == team;
            self.conns.iter().filter(own).count() as u32
        };
        let idle = self.conns.iter().enumerate().filter_map(|(index, conn)| match conn.state {
            State::Idle(since) if conn.server == server => {
                let (team, held) = (conn.team, held(conn.team));
                let pools = self.policy == Policy::Pool;
                let value = if pools { self.value(server, team, held) } else { 0.0 };
                let awaited = held == 1 && self.queue.iter().any(|request| request.team == team);
                Some(Idle { conn: index, team, since, value, awaited: awaited && pools })
            }
            _ => None,
        });
        idle.collect()
    }
}

fn ranks(team: usize) -> [u64; SERVERS] {
    std::array::from_fn(|server| {
        rendezvous::score(&format!("team-{team}"), &format!("server-{server}"))
    })
}

/// Runs 60 s of `rate` requests per second; one team raises its rate after 30 s.
fn run(policy: Policy, limit: usize, rate: f64, surge: usize) -> Measured {
    run_of(policy, limit, rate, surge, |_| true)
}

/// As [`run`], with the requests of some teams only.
fn run_of(
    policy: Policy,
    limit: usize,
    rate: f64,
    surge: usize,
    includes: impl Fn(usize) -> bool,
) -> Measured {
    let mut pools = Pools::new(policy, limit, surge);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let weights: Vec<_> = (1..=TEAMS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    for turn in 0..60_000 {
        if turn == 30_000 {
            (pools.hits, pools.sent, pools.opened, pools.lost) = (0, 0, 0, 0);
            pools.of_others = (0, 0);
        }
        for (team, weight) in weights.iter().enumerate() {
            let raised = if team == surge && turn >= 30_000 { 7.5 } else { 1.0 };
            let arrives = rng.random::<f64>() < weight / total * raised * rate / 1_000.0;
            if arrives && includes(team) {
                let primary = rng.random::<f64>() < PRIMARY_ONLY;
                pools.queue.push_back(Request { team, primary, arrived: pools.now });
            }
        }
        pools.step();
    }
    let opening = pools.opened as f64 * OPENING.as_secs_f64();
    let running = pools.sent as f64 * RUN.as_secs_f64();
    Measured {
        hits: pools.hits as f64 / pools.sent as f64,
        opening: opening / (opening + running),
        served: pools.sent as f64 / (pools.sent + pools.lost) as f64,
        sent: pools.sent,
        others: pools.of_others.0 as f64 / pools.of_others.1 as f64,
    }
}

/// Guards against slot time lost to openings, in comparison with simpler rules.
#[test]
fn the_pool_loses_less_slot_time_to_openings_than_lru_and_pools_of_teams() {
    for (limit, rate, surge) in [(28, 134.0, 10), (28, 240.0, 1), (14, 134.0, 3)] {
        let pool = run(Policy::Pool, limit, rate, surge);
        let lru = run(Policy::Lru, limit, rate, surge);
        let eviction = run(Policy::LruEviction, limit, rate, surge);
        let apart = run(Policy::PerTeam, limit, rate, surge);
        eprintln!("limit {limit}, {rate}/s, team {surge}");
        eprintln!(
            "  pool {pool:.4?}\n  lru {lru:.4?}\n  lru eviction {eviction:.4?}\n  per team {apart:.4?}"
        );
        assert!(pool.opening < lru.opening && pool.hits > lru.hits);
        assert!(pool.opening < eviction.opening && pool.hits > eviction.hits);
        assert!(pool.served >= lru.served && pool.served > apart.served);
    }
}

/// Guards against a team with many requests at once that closes the connections of others.
#[test]
fn other_teams_keep_their_connections_while_one_raises_its_rate() {
    let calm = run(Policy::Pool, 28, 134.0, TEAMS);
    let surge = run(Policy::Pool, 28, 134.0, 2);
    eprintln!("calm {calm:.4?}\nsurge {surge:.4?}");
    assert!(surge.others > calm.others - 0.03, "{} of {}", surge.others, calm.others);
    assert!(surge.served > 0.99);
}

/// Guards against an affinity of the fronts that costs more openings than it saves.
#[test]
fn a_keeper_for_each_team_needs_fewer_openings_than_keepers_that_serve_all_teams() {
    let (limit, rate, surge) = (28, 134.0, 10);
    let keeper = |team: usize| {
        let rank = |host| rendezvous::score(&format!("team-{team}"), host);
        usize::from(rank("host-0") < rank("host-1"))
    };
    let keepers: Vec<_> = (0..TEAMS).map(keeper).collect();
    let by_team: Vec<_> = (0..2)
        .map(|host| run_of(Policy::Pool, limit, rate, surge, |team| keepers[team] == host))
        .collect();
    // each of the two keepers gets half of the requests of each team
    let by_place = run(Policy::Pool, limit, rate / 2.0, surge);
    let sent: u64 = by_team.iter().map(|measured| measured.sent).sum();
    let weighted = |value: fn(&Measured) -> f64| {
        by_team.iter().map(|one| value(one) * one.sent as f64).sum::<f64>() / sent as f64
    };
    let (hits, opening) = (weighted(|one| one.hits), weighted(|one| one.opening));
    eprintln!("by team: hits {hits:.4} opening {opening:.4}; by place {by_place:.4?}");
    assert!(hits > by_place.hits && opening < by_place.opening);
}
