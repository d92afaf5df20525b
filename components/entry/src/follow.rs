//! The entry's link to control.
//!
//! The entry dials any member at random, follows the log there, and beats. It
//! moves to another member when this one confirms no beat, and waits a random
//! time before each dial, so that entries that lost a member together don't
//! come back together.

pub mod controls;
pub mod progress;

use std::net::SocketAddr;

use base::clock::Clock;
use base::prelude::*;
use control::lease::BEAT;
use link::{Key, Peer, Purpose, Reader, Writer};
use rand::RngExt;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use wire::control::{Down, Follow, Leave, Up, down, up};
use wire::log::Join;

use crate::view::{Symptoms, View};
pub use controls::Controls;
use progress::{CONFIRM_TIMEOUT, Fault, Progress};

/// Longest wait before the first dial after a link broke.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait before a dial.
const LAST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest time for a dial; a lease must survive some that fail.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two looks at whether the link serves.
const CHECK: Duration = Duration::from_millis(100);

/// Longest time for a farewell.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the link to control needs.
#[derive(Debug)]
pub struct Settings {
    /// The entry as it joins.
    pub join: Join,
    /// Addresses of the members' links.
    pub controls: Controls,
    /// The key that the system's processes share.
    pub key: Key,
    /// Where the state is kept.
    pub view: View,
    /// Symptoms to pass on.
    pub symptoms: Symptoms,
    /// The clock of the process.
    pub clock: Clock,
    /// Where to log.
    pub log: Logger,
}

/// The running link to control.
#[derive(Debug)]
pub struct Handle {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Tells control that the entry holds no connection any more, and ends.
    pub async fn leave(self) {
        let _sent = self.leave.send(());
        drop(timeout(LEAVE_TIMEOUT, self.task).await);
    }

    /// Ends at once without a word.
    pub fn kill(self) {
        self.task.abort();
    }
}

/// Starts to follow control.
pub fn start(settings: Settings) -> Handle {
    let (leave, left) = oneshot::channel();
    let task = tokio::spawn(run(settings, left));
    Handle { leave, task }
}

/// How a link ended.
enum End {
    Left,
    Failed { confirmed: bool, report: Report<Fault> },
}

async fn run(mut settings: Settings, mut left: oneshot::Receiver<()>) {
    let mut given = Vec::new();
    let mut backoff = Duration::ZERO;
    let mut last = None;
    loop {
        let Some(address) = pick(&settings.controls.known(), last) else {
            slog::error!(settings.log, "no control member is known");
            sleep(LAST_BACKOFF).await;
            continue;
        };
        last = Some(address);
        tokio::select! {
            () = sleep(jitter(backoff)) => {}
            _ = &mut left => return,
        }
        match visit(&mut settings, address, &mut given, &mut left).await {
            End::Left => return,
            End::Failed { confirmed, report } => {
                slog::info!(settings.log, "left a control member"; "address" => %address, "reason" => %report);
                backoff = next_backoff(if confirmed { Duration::ZERO } else { backoff });
            }
        }
    }
}

/// Any member but the last one, where there is another.
fn pick(controls: &[SocketAddr], last: Option<SocketAddr>) -> Option<SocketAddr> {
    let others = || controls.iter().filter(|&&address| Some(address) != last);
    let count = others().count();
    if count == 0 {
        return controls.first().copied();
    }
    let chosen = rand::rng().random_range(0..count);
    others().nth(chosen).copied()
}

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).clamp(FIRST_BACKOFF, LAST_BACKOFF)
}

/// A random part of the whole backoff.
fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.0..=1.0))
}

async fn visit(
    settings: &mut Settings,
    address: SocketAddr,
    given: &mut Vec<Name>,
    left: &mut oneshot::Receiver<()>,
) -> End {
    let mut progress = Progress::new(settings.clock.now(), settings.join.clone());
    match follow(settings, address, &mut progress, given, left).await {
        Ok(()) => End::Left,
        Err(report) => End::Failed { confirmed: progress.has_confirmed(), report },
    }
}

async fn dial(settings: &Settings, address: SocketAddr) -> Result<(Reader, Writer), Report<Fault>> {
    let join = &settings.join;
    let own = Peer::new(&join.entry, join.incarnation, Purpose::Control);
    let dialled = timeout(DIAL_TIMEOUT, link::dial(address, &own, &settings.key)).await;
    let (_peer, reader, writer) =
        dialled.change_context(Fault::Link)?.change_context(Fault::Link)?;
    Ok((reader, writer))
}

async fn follow(
    settings: &mut Settings,
    address: SocketAddr,
    progress: &mut Progress,
    given: &mut Vec<Name>,
    left: &mut oneshot::Receiver<()>,
) -> Result<(), Report<Fault>> {
    let (mut reader, mut writer) = dial(settings, address).await?;
    let view = settings.view.clone();
    let applied = view.read(|state| state.index);
    let hello = Follow { join: Some(settings.join.clone()), applied };
    send(&mut writer, up::Body::Follow(hello)).await?;
    send_seals(&view, &mut writer).await?;
    let mut beats = ticks(BEAT);
    let mut checks = ticks(CHECK);
    loop {
        tokio::select! {
            message = reader.next::<Down>() => {
                let message = message.change_context(Fault::Link)?.ok_or(Fault::Closed)?;
                if let Some(down::Body::Members(members)) = &message.body {
                    settings.controls.learn(members);
                }
                progress.on(&view, message)?;
                progress.collect_given_up(&view, given);
                if progress.has_reduced_lease(&view) {
                    beat(settings, progress, given, &mut writer).await?;
                }
            }
            _ = beats.tick() => beat(settings, progress, given, &mut writer).await?,
            () = view.wait_for_given_up() => beat(settings, progress, given, &mut writer).await?,
            () = view.wait_for_seal() => send_seals(&view, &mut writer).await?,
            Some(symptom) = settings.symptoms.recv() => {
                send(&mut writer, up::Body::Symptom(symptom)).await?;
            }
            _ = checks.tick() => {
                progress.check(settings.clock.now(), &view, reader.pending())?;
            }
            told = &mut *left => {
                if told.is_ok() {
                    drop(send(&mut writer, up::Body::Leave(Leave {})).await);
                }
                return Ok(());
            }
        }
    }
}

fn ticks(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn beat(
    settings: &Settings,
    progress: &mut Progress,
    given: &mut Vec<Name>,
    writer: &mut Writer,
) -> Result<(), Report<Fault>> {
    let beat = progress.beat(settings.clock.now(), &settings.view, given);
    send(writer, up::Body::Beat(beat)).await
}

async fn send_seals(view: &View, writer: &mut Writer) -> Result<(), Report<Fault>> {
    for seal in view.seals() {
        send(writer, up::Body::Seal(seal)).await?;
    }
    Ok(())
}

async fn send(writer: &mut Writer, body: up::Body) -> Result<(), Report<Fault>> {
    let message = Up { body: Some(body) };
    let sent = timeout(CONFIRM_TIMEOUT, writer.send(&message)).await;
    sent.change_context(Fault::Link)?.change_context(Fault::Link)
}
