//! Program processes, and the signals sent to them. Only processes that this module
//! started are signalled, by their process ids.

use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::Stdio;

use base::prelude::*;
use rustix::process::{Pid, kill_process};
use tokio::process::{Child, Command};

use crate::Failure;

/// Longest time of a graceful stop, after which the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Signal {
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGTERM: asks the process to shut down gracefully.
    Terminate,
    /// SIGSTOP: suspends the process.
    Pause,
}

/// A program that can be started, signalled and restarted.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Describes a process that is not started yet. The program's output is appended
    /// to `log`.
    pub fn new(program: PathBuf, arguments: Vec<String>, log: PathBuf) -> Self {
        Self { program, arguments, log, child: None }
    }

    /// Starts the process if it is not running, and continues it if it is suspended.
    ///
    /// # Errors
    /// [`Failure::Start`] when the log cannot be opened or the program cannot be run.
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

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::Kill => self.send(rustix::process::Signal::KILL),
            Signal::Terminate => self.send(rustix::process::Signal::TERM),
            Signal::Pause => self.send(rustix::process::Signal::STOP),
        }
    }

    /// Stops the process gracefully, or kills it after 10 seconds. A suspended process
    /// is continued, so that it can react to the signal.
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
            // an error means that the process has ended since the check above
            let _already_ended = kill_process(pid, signal);
        }
    }
}
