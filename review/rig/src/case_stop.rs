//! A machine is stopped as planned while clients are in transactions there that last a little
//! longer than half of the grace period.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::system::{GRACE, System};
use crate::world::{BOUNDED, Outcome, World, unable};

/// Number of sessions, and the statements of the transaction of each.
const CLIENTS: usize = 4;
const STATEMENTS: usize = 12;
/// Pause between two statements of a transaction.
const PAUSE: Duration = Duration::from_millis(150);
/// Time that a server works on a read.
const READ_MS: u64 = 150;
/// Delay between the starts of two clients.
const STAGGER: Duration = Duration::from_millis(75);

/// A request whose connection ended without an answer: its id, when it was sent, and when the
/// connection ended.
type Cut = (String, Instant, Instant);

pub fn run(record: Record, trouble: bool) -> Outcome<bool> {
    let world = World::start(6, 3, record.clone())?;
    let stopped = world.keepers()[0];
    world.write("warm", stopped, "w1")?;
    world.group.read_ms.store(READ_MS, Ordering::Relaxed);
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let mut sessions = Vec::new();
    for number in 0..CLIENTS {
        let name = format!("client-{number}");
        let mut client = world.client(&name, stopped, BOUNDED)?;
        if !client.succeeds(&format!("{number}.begin"), "BEGIN READ") {
            return unable("a transaction did not begin");
        }
        let cuts = Arc::clone(&cuts);
        let session = thread::spawn(move || {
            thread::sleep(STAGGER * number as u32);
            for statement in 0..STATEMENTS {
                let id = format!("{number}.{statement}");
                let sent = Instant::now();
                match client.query(&id, "READ 1a4") {
                    Ok(answer) if answer.result.is_ok() => thread::sleep(PAUSE),
                    Ok(_) => return,
                    Err(_) => {
                        cuts.lock().unwrap().push((id, sent, Instant::now()));
                        return;
                    }
                }
            }
            let _ = client.query(&format!("{number}.end"), "COMMIT");
        });
        sessions.push(session);
    }
    thread::sleep(STAGGER * CLIENTS as u32);
    let signalled = Instant::now();
    if trouble {
        System::roll(&world.system, stopped);
    }
    for session in sessions {
        let _ = session.join();
    }
    let runs = world.group.runs.lock().unwrap().clone();
    let mut broken = false;
    for (id, sent, ended) in cuts.lock().unwrap().iter() {
        let sent = sent.saturating_duration_since(signalled);
        let ended = ended.saturating_duration_since(signalled);
        let reached = runs.iter().any(|(run, ..)| run == id);
        // the excuse of the rule: the server still at work in the last sixth of the grace period
        let counts = reached && sent <= GRACE / 2 && ended < GRACE * 5 / 6;
        let text = format!(
            "{id} was sent {} ms and cut {} ms after SIGTERM, reached a server: {reached}, counts: {counts}",
            sent.as_millis(),
            ended.as_millis()
        );
        record.line("case", &text);
        broken |= counts;
    }
    Ok(!broken)
}
