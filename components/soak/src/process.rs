//! Programs, and signals to them. Only processes that were started here are
//! ever signalled, by their ids.

use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Stdio;

use base::prelude::*;
use rustix::process::{Pid, kill_process};
use tokio::process::{Child, Command};

use crate::Failure;

/// Longest time that a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to stop.
    Terminate,
    /// Makes it stand still.
    Pause,
}

/// A program that is started, signalled and started again.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A program that is not started yet; what it says is added to `log`.
    pub fn new(program: PathBuf, arguments: Vec<String>, log: PathBuf) -> Self {
        Self { program, arguments, log, child: None }
    }

    /// Starts it if it does not run, and lets it go on if it stands still.
    ///
    /// # Errors
    /// [`Failure::Start`].
    pub fn resume(&mut self) -> Result<(), Report<Failure>> {
        if self.is_running() {
            self.send(rustix::process::Signal::CONT);
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.change_context(Failure::Start)?;
        let output = log.try_clone().change_context(Failure::Start)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null()).stdout(output).stderr(log);
        self.child = Some(command.kill_on_drop(true).spawn().change_context(Failure::Start)?);
        Ok(())
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::Kill => self.send(rustix::process::Signal::KILL),
            Signal::Terminate => self.send(rustix::process::Signal::TERM),
            Signal::Pause => self.send(rustix::process::Signal::STOP),
        }
    }

    /// Stops it as planned.
    pub async fn stop(&mut self) {
        self.signal(Signal::Terminate);
        self.send(rustix::process::Signal::CONT);
        if let Some(child) = &mut self.child
            && tokio::time::timeout(STOP_TIMEOUT, child.wait()).await.is_err()
        {
            self.signal(Signal::Kill);
        }
    }

    fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn send(&mut self, signal: rustix::process::Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // it may end in between; then there is nothing to signal
            let _ended = kill_process(pid, signal);
        }
    }
}
