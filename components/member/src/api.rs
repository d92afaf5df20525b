//! What a program may ask of the member that it runs.

use base::prelude::*;
use bytes::Bytes;
use control::{Outcome, Refusal};
use tokio::sync::oneshot;
use wire::log::{Announce, Command, Replace, command};
use wire::pack::{self, Garbled};

use crate::input::{Completion, Input, NoLeader, Sender};

/// Time after which an answer is given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum RequestError {
    /// No leader took it; it was not done.
    #[strum(serialize = "Unled")]
    NoLeader,
    /// The leader was lost before it answered; it may have been done.
    Unknown,
}

impl std::error::Error for RequestError {}

impl From<NoLeader> for RequestError {
    fn from(NoLeader: NoLeader) -> Self {
        Self::NoLeader
    }
}

/// A whole edition of the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edition {
    /// Its number; zero for none.
    pub number: u64,
    /// The document that it was read from, packed.
    pub(crate) packed: Bytes,
}

impl Edition {
    /// The document that it was read from.
    ///
    /// # Errors
    /// [`Garbled`] when the state holds another's bytes.
    pub fn document(&self) -> Result<Vec<u8>, Report<Garbled>> {
        pack::unpack(&self.packed)
    }
}

/// The way to a member that runs.
#[derive(Clone, Debug)]
pub struct Api {
    core: Sender,
}

impl Api {
    pub(crate) fn new(core: Sender) -> Self {
        Self { core }
    }

    /// Puts an input to the core and waits for its answer.
    pub(crate) async fn ask<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, RequestError> {
        let (reply, answer) = oneshot::channel();
        self.core.send(input(reply)).await.map_err(|_closed| RequestError::NoLeader)?;
        let answer = tokio::time::timeout(TIMEOUT, answer).await;
        answer.map_err(|_elapsed| RequestError::Unknown)?.map_err(|_closed| RequestError::Unknown)
    }

    pub(crate) async fn propose(&self, body: command::Body) -> Result<Completion, RequestError> {
        let command = Command { body: Some(body) };
        self.ask(|reply| Input::Propose { command, reply }).await
    }

    /// Passes on what a backend server says of itself.
    ///
    /// # Errors
    /// [`RequestError`].
    pub async fn announce(&self, announce: Announce) -> Result<(), RequestError> {
        Ok(self.ask(|reply| Input::Announce { announce, reply }).await??)
    }

    /// Notes that a backend server is gone for good.
    ///
    /// # Errors
    /// [`RequestError`].
    pub async fn retire(&self, server: Name) -> Result<(), RequestError> {
        done(&self.ask(|reply| Input::Retire { server, reply }).await?)
    }

    /// Puts a whole edition of the declarations in force, if it is the newest.
    /// Whether it was taken, or passed over for a newer one.
    ///
    /// # Errors
    /// [`RequestError`].
    pub async fn replace(&self, replace: Replace) -> Result<Replaced, RequestError> {
        match self.propose(command::Body::Replace(replace)).await? {
            Completion::Applied { outcome: Outcome::Applied, .. } => Ok(Replaced::Taken),
            Completion::Applied { outcome: Outcome::Unchanged, .. } => Ok(Replaced::Passed),
            Completion::Applied { outcome: Outcome::Refused(Refusal::Malformed), .. } => {
                Ok(Replaced::Invalid)
            }
            completion => done(&completion).map(|()| Replaced::Passed),
        }
    }

    /// The edition in force, confirmed by a quorum.
    ///
    /// # Errors
    /// [`RequestError`].
    pub async fn edition(&self) -> Result<Edition, RequestError> {
        Ok(self.ask(|reply| Input::Config { reply }).await??.edition)
    }
}

/// What became of a whole edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Replaced {
    /// It is in force.
    Taken,
    /// One that is as new or newer is.
    Passed,
    /// It has faults.
    Invalid,
}

fn done(completion: &Completion) -> Result<(), RequestError> {
    match completion {
        Completion::Applied { .. } | Completion::Changed { .. } => Ok(()),
        Completion::Dropped { not_run: true } => Err(RequestError::NoLeader),
        Completion::Dropped { not_run: false } | Completion::Refused(_) => {
            Err(RequestError::Unknown)
        }
    }
}
