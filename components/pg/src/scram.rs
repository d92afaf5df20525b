//! Passwords by SCRAM-SHA-256.
//!
//! A file of users has one line for each, `name:verifier`, with the verifier
//! as PostgreSQL stores it. The exchange itself is `pgwire`'s.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use error_stack::{Report, ResultExt};
use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, ScramServerAuthWaitingForClientFinal,
    gen_salted_password,
};

/// Name of the mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Length of a salt in bytes.
pub const SALT_BYTES: usize = 16;

const KEY_BYTES: usize = 32;

/// Why a verifier or a login fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// A verifier is not as PostgreSQL stores it.
    #[strum(to_string = "a verifier is SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER")]
    Verifier,
    /// A line of the file of users is not `name:verifier`.
    #[strum(to_string = "line {line} is not NAME:VERIFIER")]
    Line {
        /// Number of the line, from one.
        line: usize,
    },
    /// A message of the exchange is wrong, or the password is.
    #[strum(to_string = "the password is wrong")]
    Refused,
}

impl std::error::Error for Failure {}

/// What is kept of a password. Its debug form shows nothing of it.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: usize,
    salt: Vec<u8>,
    stored: Vec<u8>,
    server: Vec<u8>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier(..)")
    }
}

impl Verifier {
    /// Makes the verifier of a password.
    pub fn new(password: &str, salt: &[u8]) -> Self {
        let salted = gen_salted_password(password, salt, SCRAM_ITERATIONS);
        let salt = salt.to_vec();
        let secret = ScramSecret::verifier_from_salted_password(salt, salted, SCRAM_ITERATIONS);
        match secret {
            ScramSecret::Verifier { salt, iterations, stored_key, server_key } => {
                Self { iterations, salt, stored: stored_key, server: server_key }
            }
            ScramSecret::SaltedPassword { salt, salted_password } => Self {
                iterations: SCRAM_ITERATIONS,
                salt,
                stored: salted_password.clone(),
                server: salted_password,
            },
        }
    }

    /// Starts an exchange with the client's first message.
    ///
    /// # Errors
    /// [`Failure::Refused`].
    pub fn start(&self, first: &[u8]) -> Result<(String, Exchange), Report<Failure>> {
        let secret = ScramSecret::Verifier {
            salt: self.salt.clone(),
            iterations: self.iterations,
            stored_key: self.stored.clone(),
            server_key: self.server.clone(),
        };
        let server = ScramServerAuth::new();
        let started = server.on_client_first_message_with_secret(first, secret);
        let (answer, waiting) = started.change_context(Failure::Refused)?;
        Ok((answer, Exchange(waiting)))
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (salt, stored) = (STANDARD.encode(&self.salt), STANDARD.encode(&self.stored));
        let server = STANDARD.encode(&self.server);
        write!(f, "{MECHANISM}${}:{salt}${stored}:{server}", self.iterations)
    }
}

impl FromStr for Verifier {
    type Err = Report<Failure>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let key = |text: &str| -> Result<Vec<u8>, Report<Failure>> {
            let bytes = STANDARD.decode(text).change_context(Failure::Verifier)?;
            if bytes.len() == KEY_BYTES { Ok(bytes) } else { Err(Failure::Verifier.into()) }
        };
        let rest = text.strip_prefix(MECHANISM).and_then(|rest| rest.strip_prefix('$'));
        let (first, second) = rest.and_then(|r| r.split_once('$')).ok_or(Failure::Verifier)?;
        let (iterations, salt) = first.split_once(':').ok_or(Failure::Verifier)?;
        let (stored, server) = second.split_once(':').ok_or(Failure::Verifier)?;
        Ok(Self {
            iterations: iterations.parse().change_context(Failure::Verifier)?,
            salt: STANDARD.decode(salt).change_context(Failure::Verifier)?,
            stored: key(stored)?,
            server: key(server)?,
        })
    }
}

/// An exchange that waits for the client's last message.
#[derive(Debug)]
pub struct Exchange(ScramServerAuthWaitingForClientFinal);

impl Exchange {
    /// Checks the client's last message and returns the server's.
    ///
    /// # Errors
    /// [`Failure::Refused`].
    pub fn finish(&self, last: &[u8]) -> Result<String, Report<Failure>> {
        self.0.on_client_final_message(last).change_context(Failure::Refused)
    }
}

/// Users and their verifiers.
#[derive(Clone, Debug, Default)]
pub struct Users {
    verifiers: BTreeMap<String, Verifier>,
}

impl Users {
    /// The verifier of a user.
    pub fn get(&self, name: &str) -> Option<&Verifier> {
        self.verifiers.get(name)
    }
}

impl FromStr for Users {
    type Err = Report<Failure>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut verifiers = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = Failure::Line { line: index + 1 };
            let (name, verifier) = line.split_once(':').ok_or(wrong)?;
            let verifier: Verifier =
                verifier.parse().map_err(|report: Report<Failure>| report.change_context(wrong))?;
            verifiers.insert(name.to_owned(), verifier);
        }
        Ok(Self { verifiers })
    }
}
