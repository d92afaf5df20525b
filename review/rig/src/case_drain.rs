//! A heartbeat of another writer, with fields missing, arrives for a server that is replaced
//! later as planned.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::call;
use crate::record::Record;
use crate::world::{PRIMARY, Outcome, SERVERS, SERVICE, World, unable};

/// `drain_timeout_ms` of the settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// Time for which the server goes on after the acknowledgement: "at times many seconds" longer.
const SERVES_ON: Duration = Duration::from_millis(10_000);
/// Index of the server that is replaced.
const LEAVING: usize = 0;
const READERS: usize = 4;

pub fn run(record: Record, trouble: bool) -> Outcome<bool> {
    let world = World::start(6, 3, record.clone())?;
    let keepers = world.keepers();
    world.write("warm", keepers[0], "w1")?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut readers = Vec::new();
    for number in 0..READERS {
        let mut client = world.client(&format!("reader-{number}"), number, PRIMARY)?;
        let stop = Arc::clone(&stop);
        readers.push(thread::spawn(move || {
            let mut statement = 0;
            while !stop.load(Ordering::Relaxed) {
                statement += 1;
                let text = if statement % 4 == 0 { "WRITE 1a4 qhzkwmtr" } else { "READ 1a4" };
                if client.query(&format!("{number}.{statement}"), text).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_millis(2_000));
    if trouble {
        send_foreign(&world)?;
    }
    thread::sleep(Duration::from_millis(3_000));
    let acknowledged = world.group.drain(LEAVING);
    let Some(acknowledged) = acknowledged else { return unable("draining was not acknowledged") };
    thread::sleep(SERVES_ON);
    stop.store(true, Ordering::Relaxed);
    for reader in readers {
        let _ = reader.join();
    }
    let runs = world.group.runs.lock().unwrap().clone();
    let at_leaving = |(_, server, at): &&(String, usize, Instant)| {
        *server == LEAVING && at.saturating_duration_since(acknowledged) > DRAIN_TIMEOUT
    };
    let late: Vec<_> = runs.iter().filter(at_leaving).collect();
    record.line("case", &format!("{} requests in all; {} reached {} later than 7 s after its draining was acknowledged", runs.len(), late.len(), SERVERS[LEAVING]));
    if let Some((id, _, at)) = late.last() {
        let after = at.saturating_duration_since(acknowledged).as_millis();
        record.line("case", &format!("the last one, {id}, came {after} ms after it"));
    }
    Ok(late.is_empty())
}

/// Sends a heartbeat for the primary as another writer may: without `version`,
/// `cold_remaining_ms` and `database_role`, and with a count of its own.
fn send_foreign(world: &World) -> Outcome<()> {
    let state = world.group.state.lock().unwrap();
    let server = &state.servers[LEAVING];
    let body = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":2,\
         \"state\":\"ready\",\"sequence\":1796495571,\"born\":{}}}",
        server.address, server.zone, server.born
    );
    let id = server.id.clone();
    drop(state);
    for control in world.system.lock().unwrap().control_list() {
        if let Ok((status, _)) = call(control, "PUT", &format!("/instances/{id}"), &body) {
            world.record.line("other-writer", &format!("PUT /instances/{id} {body}: {status}"));
            return Ok(());
        }
    }
    unable("no control node was reached")
}
