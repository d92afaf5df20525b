//! Announcements by other writers under the name of a server hide or displace none of the
//! server's own for long.

mod unfenced;

use arbtest::arbtest;
use base::prelude::*;
use control::renewals::{ANNOUNCE_TIMEOUT, MAX_CAPACITY, MAX_NUMBER};
use control::{Event, Phase};
use wire::log::Announce;

use unfenced::{World, announcement, name};

/// Number of seeds to run.
const SEEDS: u64 = 300;

/// Size in bytes of the random input of one seed; `arbtest` takes it from the low 32 bits
/// of its seed.
const BYTES: u64 = 4_096;

/// Time after which an announcement of the server itself has taken effect.
const LONGEST: Duration = ANNOUNCE_TIMEOUT.saturating_add(Duration::from_secs(1));

/// Announcement of a server by itself.
fn own(server: &str, sequence: u64, leaving: bool) -> Announce {
    Announce { sequence, ..announcement(server, 1, leaving) }
}

/// Lets time pass while the primary announces itself, and returns the last sequence number.
fn pass_announced(world: &mut World, time: Duration, from: u64, leaving: bool) -> u64 {
    let steps = time.as_millis() as u64 / 200;
    for step in 0..steps {
        world.tell(Event::Announced(own("s0", from + step, leaving)));
        for replica in ["s1", "s2"] {
            world.tell(Event::Announced(own(replica, from + step, false)));
        }
        world.pass(200);
    }
    from + steps
}

/// review/4: the sequence number of another writer hid the heartbeats by which the primary
/// reported its drain.
#[test]
fn a_sequence_number_of_another_writer_hides_a_drain_no_longer_than_a_server_may_be_silent() {
    let mut world = World::new();
    let sequence = pass_announced(&mut world, Duration::from_secs(1), 1, false);
    world.tell(Event::Announced(own("s0", 1_788_045_900, false)));
    pass_announced(&mut world, LONGEST, sequence, true);
    assert!(world.state.servers["s0"].leaving);
    assert_ne!(world.phase(), Phase::Settled, "the primary is being replaced");
}

/// An incarnation that another writer made up hid all announcements of the server.
#[test]
fn an_incarnation_of_another_writer_hides_a_drain_no_longer_than_a_server_may_be_silent() {
    let mut world = World::new();
    let sequence = pass_announced(&mut world, Duration::from_secs(1), 1, false);
    world.tell(Event::Announced(Announce { incarnation: 99, ..own("s0", 1, false) }));
    assert_eq!(world.state.servers["s0"].incarnation, 99);
    pass_announced(&mut world, LONGEST, sequence, true);
    assert!(world.state.servers["s0"].leaving);
}

/// A late announcement of an earlier incarnation must still not undo a newer one.
#[test]
fn a_late_announcement_does_not_undo_one_of_a_server_that_announces_itself() {
    let mut world = World::new();
    world.servers.get_mut("s1").unwrap().incarnation = 2;
    world.tell(Event::Announced(Announce { incarnation: 2, ..own("s1", 1, true) }));
    world.tell(Event::Announced(own("s1", 900, false)));
    world.tell(Event::Announced(Announce { incarnation: 2, ..own("s1", 0, false) }));
    let server = &world.state.servers["s1"];
    assert!(server.leaving && server.incarnation == 2, "{server:?}");
}

/// A server that had reported its drain got work again by a late announcement.
#[test]
fn an_earlier_incarnation_that_counts_again_stays_leaving() {
    let mut world = World::new();
    world.tell(Event::Announced(Announce { incarnation: 2, ..own("s1", 1, true) }));
    world.pass(4_000);
    world.tell(Event::Announced(own("s1", 900, false)));
    let server = &world.state.servers["s1"];
    assert!(server.leaving && server.incarnation == 1, "{server:?}");
}

/// Random odd announcements under the name of the primary and of its address: none is stored
/// that no server can have sent, and the own drain of the primary takes effect.
#[test]
fn odd_announcements_neither_hide_nor_displace_those_of_a_server() {
    let mut refused = 0;
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut world = World::new();
            let mut sequence = pass_announced(&mut world, Duration::from_millis(600), 1, false);
            for _ in 0..u.int_in_range(1..=6)? {
                let mut odd = own("s0", u.int_in_range(0..=2_000_000_000)?, false);
                match u.int_in_range(0..=8)? {
                    0 => odd.sequence = u64::MAX - u.int_in_range(0..=9)?,
                    1 => odd.incarnation = u64::MAX - u.int_in_range(0..=9)?,
                    2 => odd.slots = *u.choose(&[0, MAX_CAPACITY + 1, u32::MAX])?,
                    3 => odd.connections = *u.choose(&[0, MAX_CAPACITY + 1, u32::MAX])?,
                    4 => odd.address = "127.0.0.1:0".to_owned(),
                    5 => odd.address = u.arbitrary()?,
                    6 => odd.zone = u.arbitrary()?,
                    7 => odd.server = u.arbitrary()?,
                    _ => odd.incarnation = u.int_in_range(0..=MAX_NUMBER)?,
                }
                let valid = control::renewals::is_valid(&odd);
                let before = world.state.clone();
                world.tell(Event::Announced(odd));
                if !valid {
                    refused += 1;
                    assert_eq!(world.state, before, "an odd announcement was stored");
                }
                let time = Duration::from_millis(200 * u.int_in_range(0..=3)?);
                sequence = pass_announced(&mut world, time, sequence, false);
            }
            pass_announced(&mut world, LONGEST, sequence, true);
            assert!(world.state.servers["s0"].leaving, "the drain was hidden");
            assert!(
                world.state.groups["g"].seats.contains(&name("s0"))
                    || world.phase() == Phase::Settled
            );
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
    assert!(refused > SEEDS, "{refused} announcements were refused");
}

/// A server that an earlier release stored with an impossible incarnation was hidden for good.
#[test]
fn a_stored_incarnation_that_no_server_can_have_gives_way() {
    let mut world = World::new();
    let poisoned = Announce { incarnation: u64::MAX, slots: 0, ..own("s0", 1, false) };
    world.commit(wire::log::command::Body::Announce(poisoned));
    world.state = control::State::decode(&world.state.encode()).unwrap();
    pass_announced(&mut world, LONGEST, 1, false);
    let server = &world.state.servers["s0"];
    assert_eq!((server.incarnation, server.slots), (1, 2));
}
