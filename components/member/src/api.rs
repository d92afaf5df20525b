//! What a program may ask of the member that it runs.

use base::prelude::*;
use bytes::Bytes;
use control::{Outcome, Refusal};
use tokio::sync::oneshot;
use wire::log::{Announce, Command, Replace, command};
use wire::pack::{self, Malformed};

use crate::input::{Input, Sender, Unled, Verdict};

/// Time after which an answer is given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Lost {
    /// No leader took it; it was not done.
    Unled,
    /// The leader was lost before it answered; it may have been done.
    Unknown,
}

impl std::error::Error for Lost {}

impl From<Unled> for Lost {
    fn from(Unled: Unled) -> Self {
        Self::Unled
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
    /// [`Malformed`] when the state holds another's bytes.
    pub fn document(&self) -> Result<Vec<u8>, Report<Malformed>> {
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
    ) -> Result<T, Lost> {
        let (reply, answer) = oneshot::channel();
        self.core.send(input(reply)).await.map_err(|_closed| Lost::Unled)?;
        let answer = tokio::time::timeout(TIMEOUT, answer).await;
        answer.map_err(|_elapsed| Lost::Unknown)?.map_err(|_closed| Lost::Unknown)
    }

    pub(crate) async fn propose(&self, body: command::Body) -> Result<Verdict, Lost> {
        let command = Command { body: Some(body) };
        self.ask(|reply| Input::Propose { command, reply }).await
    }

    /// Passes on what a backend server says of itself.
    ///
    /// # Errors
    /// [`Lost`].
    pub async fn announce(&self, announce: Announce) -> Result<(), Lost> {
        Ok(self.ask(|reply| Input::Announce { announce, reply }).await??)
    }

    /// Notes that a backend server is gone for good.
    ///
    /// # Errors
    /// [`Lost`].
    pub async fn retire(&self, server: Name) -> Result<(), Lost> {
        done(&self.ask(|reply| Input::Retire { server, reply }).await?)
    }

    /// Puts a whole edition of the declarations in force, if it is the newest.
    /// Whether it was taken, or passed over for a newer one.
    ///
    /// # Errors
    /// [`Lost`].
    pub async fn replace(&self, replace: Replace) -> Result<Replaced, Lost> {
        match self.propose(command::Body::Replace(replace)).await? {
            Verdict::Applied { outcome: Outcome::Applied, .. } => Ok(Replaced::Taken),
            Verdict::Applied { outcome: Outcome::Unchanged, .. } => Ok(Replaced::Passed),
            Verdict::Applied { outcome: Outcome::Refused(Refusal::Malformed), .. } => {
                Ok(Replaced::Invalid)
            }
            verdict => done(&verdict).map(|()| Replaced::Passed),
        }
    }

    /// The edition in force, confirmed by a quorum.
    ///
    /// # Errors
    /// [`Lost`].
    pub async fn edition(&self) -> Result<Edition, Lost> {
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

fn done(verdict: &Verdict) -> Result<(), Lost> {
    match verdict {
        Verdict::Applied { .. } | Verdict::Changed { .. } => Ok(()),
        Verdict::Dropped { not_run: true } => Err(Lost::Unled),
        Verdict::Dropped { not_run: false } | Verdict::Refused(_) => Err(Lost::Unknown),
    }
}
