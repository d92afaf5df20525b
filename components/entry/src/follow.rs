//! The entry's link to control.
//!
//! The entry dials control members until one answers, follows the control log
//! there, and sends heartbeats. When the member confirms no heartbeat, the entry
//! moves to another member. Before each dial but the first, the entry waits for a
//! random time, so that entries that lost the same member don't reconnect all at
//! once.

pub mod controls;
pub mod dialer;
pub mod progress;

use base::clock::Clock;
use base::prelude::*;
use control::lease::HEARTBEAT_INTERVAL;
use link::{Key, Peer, Purpose, Writer};
use rand::RngExt;
use slog::Logger;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use wire::control::{Down, Follow, Leave, Up, down, up};
use wire::log::Join;

use crate::view::{Symptoms, View};
pub use controls::Controls;
use dialer::Dialled;
use progress::{CONFIRM_TIMEOUT, Failure, Progress};

/// Limit on the random wait before the first dial after a failure. The limit doubles,
/// up to [`MAX_BACKOFF`], after each further link without a confirmed heartbeat.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Limit on the random wait before any dial.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time between two checks of whether the member still serves this entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for telling control that the entry leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the link to control.
#[derive(Debug)]
pub struct Settings {
    /// Join command with which the entry registers itself in the control log.
    pub join: Join,
    /// Addresses at which control members accept links.
    pub controls: Controls,
    /// Key that all processes of the system share.
    pub key: Key,
    /// View into which the control state and the lease are written.
    pub view: View,
    /// Symptoms to send to control.
    pub symptoms: Symptoms,
    /// Clock of the process.
    pub clock: Clock,
    /// Logger for events of the link.
    pub log: Logger,
}

/// Handle to the running link to control.
#[derive(Debug)]
pub struct Handle {
    leave: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Tells control that the entry no longer holds any connection, and closes the
    /// link.
    pub async fn leave(self) {
        let _sent = self.leave.send(());
        drop(timeout(LEAVE_TIMEOUT, self.task).await);
    }

    /// Drops the link at once, without telling control.
    pub fn kill(self) {
        self.task.abort();
    }
}

/// Starts the task that follows control.
pub fn start(settings: Settings) -> Handle {
    let (leave, leave_request) = oneshot::channel();
    let task = tokio::spawn(run(settings, leave_request));
    Handle { leave, task }
}

/// Reason for the end of a link.
enum End {
    /// [`Handle::leave`] was called or the handle was dropped.
    Left,
    /// The link failed; `confirmed` says whether the member had confirmed a heartbeat.
    Failed { confirmed: bool, report: Report<Failure> },
}

async fn run(mut settings: Settings, mut leave: oneshot::Receiver<()>) {
    let mut released = Vec::new();
    let mut backoff = Duration::ZERO;
    let mut last = None;
    loop {
        let members = dialer::order(settings.controls.known(), settings.controls.local(), last);
        if members.is_empty() {
            slog::error!(settings.log, "no control member is known");
            sleep(MAX_BACKOFF).await;
            continue;
        }
        tokio::select! {
            () = sleep(jitter(backoff)) => {}
            _ = &mut leave => return,
        }
        let own = Peer::new(&settings.join.entry, settings.join.incarnation, Purpose::Control);
        let dialled = match dialer::dial_first(members, &own, &settings.key).await {
            Ok(dialled) => dialled,
            Err(report) => {
                slog::info!(settings.log, "reached no control member"; "reason" => %report);
                backoff = next_backoff(backoff);
                continue;
            }
        };
        let address = dialled.0;
        last = Some(address);
        match follow_member(&mut settings, dialled, &mut released, &mut leave).await {
            End::Left => return,
            End::Failed { confirmed, report } => {
                slog::info!(settings.log, "left a control member"; "address" => %address, "reason" => %report);
                backoff = next_backoff(if confirmed { Duration::ZERO } else { backoff });
            }
        }
    }
}

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF)
}

/// Returns a random duration between zero and `backoff`.
fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.0..=1.0))
}

async fn follow_member(
    settings: &mut Settings,
    dialled: Dialled,
    released: &mut Vec<Name>,
    leave: &mut oneshot::Receiver<()>,
) -> End {
    let mut progress = Progress::new(settings.clock.now(), settings.join.clone());
    match follow(settings, dialled, &mut progress, released, leave).await {
        Ok(()) => End::Left,
        Err(report) => End::Failed { confirmed: progress.has_confirmed(), report },
    }
}

async fn follow(
    settings: &mut Settings,
    (_, mut reader, mut writer): Dialled,
    progress: &mut Progress,
    released: &mut Vec<Name>,
    leave: &mut oneshot::Receiver<()>,
) -> Result<(), Report<Failure>> {
    let view = settings.view.clone();
    let (applied, version) = view.read(|state| (state.index, state.version));
    let request = Follow { join: Some(settings.join.clone()), applied, updates: true, version };
    send(&mut writer, up::Body::Follow(request)).await?;
    send_seals(&view, &mut writer).await?;
    let mut heartbeats = ticks(HEARTBEAT_INTERVAL);
    let mut checks = ticks(CHECK_INTERVAL);
    loop {
        tokio::select! {
            message = reader.next::<Down>() => {
                let message = message.change_context(Failure::Link)?.ok_or(Failure::Closed)?;
                if let Some(down::Body::Members(members)) = &message.body {
                    settings.controls.learn(members);
                }
                progress.on(&view, message)?;
                progress.collect_released(&view, released);
                if progress.has_reduced_lease(&view) {
                    send_heartbeat(settings, progress, released, &mut writer).await?;
                }
            }
            _ = heartbeats.tick() => send_heartbeat(settings, progress, released, &mut writer).await?,
            () = view.wait_for_released_lease() =>
                send_heartbeat(settings, progress, released, &mut writer).await?,
            () = view.wait_for_seal() => send_seals(&view, &mut writer).await?,
            Some(symptom) = settings.symptoms.recv() => {
                send(&mut writer, up::Body::Symptom(symptom)).await?;
            }
            _ = checks.tick() => {
                progress.check(settings.clock.now(), &view, reader.pending())?;
            }
            requested = &mut *leave => {
                if requested.is_ok() {
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

async fn send_heartbeat(
    settings: &Settings,
    progress: &mut Progress,
    released: &mut Vec<Name>,
    writer: &mut Writer,
) -> Result<(), Report<Failure>> {
    let heartbeat = progress.next_heartbeat(settings.clock.now(), &settings.view, released);
    send(writer, up::Body::Heartbeat(heartbeat)).await
}

async fn send_seals(view: &View, writer: &mut Writer) -> Result<(), Report<Failure>> {
    for seal in view.seals() {
        send(writer, up::Body::Seal(seal)).await?;
    }
    Ok(())
}

async fn send(writer: &mut Writer, body: up::Body) -> Result<(), Report<Failure>> {
    let message = Up { body: Some(body) };
    let sent = timeout(CONFIRM_TIMEOUT, writer.send(&message)).await;
    sent.change_context(Failure::Link)?.change_context(Failure::Link)
}
