//! A replica receives nothing for a while and the primary crashes meanwhile, during a
//! release of another server and after a restart of an entry.

use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::system::{System, wait_until};
use crate::world::{Outcome, World, unable};

/// Time for which the replica receives nothing, and for which the primary is down then.
const DEAF: Duration = Duration::from_secs(6);
const CRASH: Duration = Duration::from_secs(6);

pub fn run(record: Record, trouble: bool) -> Outcome<bool> {
    let world = World::start(6, 3, record.clone())?;
    let keepers = world.keepers();
    let (stopped, other) = (keepers[0], keepers[1]);
    record.line("case", &format!("keepers: machines {stopped} and {other}"));
    world.write("warm-1", stopped, "w1")?;
    world.write("warm-2", other, "w2")?;
    thread::sleep(Duration::from_millis(300));
    let mut acknowledged = Vec::new();

    // replica_lag, how "deaf crash"
    let started = Instant::now();
    if trouble {
        world.group.set_deaf(2, true);
    }
    thread::sleep(Duration::from_millis(200));
    let mut client = world.client("client", stopped, crate::world::PRIMARY)?;
    for id in ["x1", "x2"] {
        if client.succeeds(id, "WRITE 1a4 qhzkwmtr") {
            acknowledged.push(id.to_owned());
        }
    }
    if acknowledged.len() < 2 {
        return unable("the writes before the stop were not acknowledged");
    }
    let _ = client.send("bye", "ROLLBACK");
    drop(client);
    // planned work: the machine is stopped and starts again (roll_term)
    System::roll(&world.system, stopped);
    thread::sleep(Duration::from_millis(500));
    // planned work: a replica is to be replaced (release)
    world.group.drain(1);
    thread::sleep(Duration::from_millis(800));
    let promoted = || !world.group.state.lock().unwrap().promotions.is_empty();
    if trouble {
        let deaf_until = started + DEAF;
        world.group.crash(0);
        wait_until(deaf_until.saturating_duration_since(Instant::now()), promoted);
        world.group.set_deaf(2, false);
        wait_until(CRASH, promoted);
        world.group.revive(0);
        wait_until(Duration::from_secs(4), promoted);
    } else {
        wait_until(Duration::from_secs(3), promoted);
    }
    let lost: Vec<_> = world.lost().into_iter().filter(|id| acknowledged.contains(id)).collect();
    let state = world.group.state.lock().unwrap();
    for promotion in &state.promotions {
        let id = &state.servers[promotion.server].id;
        record.line("case", &format!("{id} was promoted with: {}", promotion.ids.join(" ")));
    }
    record.line("case", &format!("acknowledged to the client: {}", acknowledged.join(" ")));
    record.line("case", &format!("lost: {}", lost.join(" ")));
    Ok(lost.is_empty())
}
