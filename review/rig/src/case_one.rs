//! A primary is partitioned from the system, and the server that was promoted in its place
//! crashes soon after.

use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::system::wait_until;
use crate::world::{Outcome, PRIMARY, World, unable};

/// Time from the promotion to the crash of the promoted server, and to the end of the partition.
const UNTIL_CRASH: Duration = Duration::from_millis(300);
/// Longest partition, and time for which the promoted server is down.
const CUT: Duration = Duration::from_millis(5_000);
const CRASH: Duration = Duration::from_millis(6_000);

pub fn run(record: Record, trouble: bool) -> Outcome<bool> {
    let last = Duration::from_millis(200);
    let delays = [last, Duration::ZERO, Duration::ZERO];
    let world = World::start_in_order(6, 3, record.clone(), delays)?;
    let keepers = world.keepers();
    let machine = keepers[0];
    world.write("warm-1", machine, "w1")?;
    world.write("warm-2", keepers[1], "w2")?;
    thread::sleep(Duration::from_millis(500));

    let group = &world.group;
    let promoted = || group.state.lock().unwrap().promotions.last().cloned();
    let started = Instant::now();
    let mut acknowledged = Vec::new();
    let mut write = |id: &str| {
        if let Ok(mut client) = world.client("client", machine, PRIMARY)
            && client.succeeds(id, "WRITE 1a4 qhzkwmtr")
        {
            acknowledged.push(id.to_owned());
        }
    };
    let mut number = 0;
    if trouble {
        group.set_cut(0, true);
        let read = world.client("reader", machine, PRIMARY)?.query("r1", "READ 1a4");
        record.line("case", &format!("a read meanwhile: {read:?}"));
        if !wait_until(CUT.saturating_sub(started.elapsed()), || promoted().is_some()) {
            return unable("no server was promoted during the partition");
        }
        let first = promoted().expect("a promotion").server;
        thread::sleep(UNTIL_CRASH);
        group.crash(first);
        group.set_cut(0, false);
        // only keepers connect to servers, so no other entry was cut off
        record.line("case", &format!("keepers: machines {keepers:?}, after the partition {:?}", world.keepers()));
        if world.keepers() != keepers {
            return unable("the keepers changed during the partition");
        }
        let crashed = Instant::now();
        while crashed.elapsed() < CRASH {
            number += 1;
            write(&format!("c{number}"));
            thread::sleep(Duration::from_millis(20));
        }
        group.revive(first);
    } else {
        while number < 100 {
            number += 1;
            write(&format!("c{number}"));
            thread::sleep(Duration::from_millis(20));
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let stale: Vec<_> = world.stale().into_iter().filter(|id| acknowledged.contains(id)).collect();
    let state = group.state.lock().unwrap();
    let holds = |id: &&String| state.servers[state.leader].holds(id);
    let lost = acknowledged.iter().filter(|id| !holds(id)).count();
    record.line("case", &format!("acknowledged to the client: {}", acknowledged.join(" ")));
    record.line("case", &format!("committed at the old primary after the promotion: {}", stale.join(" ")));
    record.line("case", &format!("{lost} of the acknowledged writes are not in the log of the primary at the end"));
    Ok(stale.is_empty())
}
