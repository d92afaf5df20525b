//! Placement of many groups on few strong and many weak hosts, without network.

use std::collections::BTreeMap;

use base::prelude::*;
use control::placement::{GROUPS_PER_STRONG_HOST, Placement, SETTLE_TIME};
use control::{Entry, State};
use wire::log::{Announce, Command, Configure, Join, command};

const STRONG: u32 = 100;
const WEAK: u32 = 2;
const ZONES: usize = 5;

/// A state with groups of one server each.
fn groups(count: usize) -> State {
    let mut state = State::default();
    let declared: Vec<_> =
        (0..count).map(|group| format!(r#""g{group}":{{"servers":1}}"#)).collect();
    let content = format!(r#"{{"groups":{{{}}}}}"#, declared.join(","));
    let configure = Configure { change: "c".to_owned(), base: 0, content, patch: String::new() };
    let mut apply = |body| {
        let index = state.index + 1;
        state.apply(index, &Command { body: Some(body) });
    };
    apply(command::Body::Configure(configure));
    for index in 0..count {
        apply(command::Body::Announce(Announce {
            server: format!("s{index}"),
            incarnation: 1,
            group: format!("g{index}"),
            address: format!("127.0.0.1:{}", 2_000 + index),
            zone: "z0".to_owned(),
            connections: 8,
            slots: 2,
            ..Announce::default()
        }));
    }
    state
}

fn host(index: usize, weight: u32) -> (Name, Entry) {
    let join = Join {
        entry: format!("e{index}"),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        zone: format!("z{}", index % ZONES),
        web: String::new(),
        sole: true,
        weight,
    };
    Entry::from_join(&join).expect("a valid entry")
}

/// Hosts of which the first ones are strong.
fn hosts(strong: usize, weak: usize) -> BTreeMap<Name, Entry> {
    let weight = |index| if index < strong { STRONG } else { WEAK };
    (0..strong + weak).map(|index| host(index, weight(index))).collect()
}

struct World {
    now: Instant,
    state: State,
    hosts: BTreeMap<Name, Entry>,
    placement: Placement,
}

impl World {
    fn new(groups_count: usize, hosts: BTreeMap<Name, Entry>) -> Self {
        let state = groups(groups_count);
        let mut world = Self { now: Instant::ZERO, state, hosts, placement: Placement::default() };
        world.update();
        world
    }

    fn update(&mut self) {
        self.placement.update(self.now, &self.state, self.hosts.iter());
    }

    /// Keepers of each group.
    fn keepers(&self) -> BTreeMap<Name, Vec<Name>> {
        let keepers =
            |group: &Name| (group.clone(), self.placement.keepers(group).expect("placed").to_vec());
        self.state.groups.keys().map(keepers).collect()
    }

    /// Number of groups that each host keeps.
    fn loads(&self) -> BTreeMap<Name, usize> {
        let mut loads: BTreeMap<Name, usize> =
            self.hosts.keys().map(|name| (name.clone(), 0)).collect();
        for keeper in self.keepers().into_values().flatten() {
            *loads.get_mut(&keeper).expect("a present host") += 1;
        }
        loads
    }
}

#[test]
fn strong_hosts_keep_the_groups_as_long_as_these_are_few() {
    let world = World::new(5 * GROUPS_PER_STRONG_HOST / 2, hosts(5, 95));
    for (name, load) in world.loads() {
        assert!(load == 0 || world.hosts[&name].weight == STRONG, "{name} keeps {load}");
    }
}

#[test]
fn no_host_keeps_many_groups_where_there_are_many() {
    let world = World::new(360, hosts(5, 295));
    let loads = world.loads();
    let mean = 360 * 2 / 300;
    let most = loads.values().copied().max().unwrap_or_default();
    assert!(most <= mean * 6, "{most} of {mean}");
    assert!(loads.values().filter(|load| **load > 0).count() > 200);
}

#[test]
fn each_group_is_kept_in_two_zones() {
    let world = World::new(360, hosts(5, 295));
    for (group, keepers) in world.keepers() {
        assert_eq!(keepers.len(), 2, "{group}");
        assert_ne!(world.hosts[&keepers[0]].zone, world.hosts[&keepers[1]].zone, "{group}");
    }
}

#[test]
fn a_host_that_goes_moves_its_own_groups_at_once_and_no_others() {
    let mut world = World::new(360, hosts(5, 295));
    world.now += SETTLE_TIME;
    world.update();
    let before = world.keepers();
    let gone = Name::new("e17").unwrap();
    world.hosts.remove(&gone);
    world.update();
    for (group, keepers) in world.keepers() {
        assert!(!keepers.contains(&gone), "{group}");
        assert!(before[&group].contains(&gone) || keepers == before[&group], "{group}");
    }
}

#[test]
fn groups_move_once_to_hosts_that_come_one_after_the_other() {
    let mut world = World::new(360, hosts(5, 95));
    world.now += SETTLE_TIME;
    world.update();
    let before = world.keepers();
    for index in 100..300 {
        world.hosts.extend([host(index, WEAK)]);
        world.now += Duration::from_millis(10);
        world.update();
        assert_eq!(world.keepers(), before, "moved after {index} hosts");
    }
    world.now += SETTLE_TIME;
    world.update();
    let moved = world.keepers().into_iter().filter(|(group, found)| before[group] != *found);
    assert!(moved.count() > 100);
}
