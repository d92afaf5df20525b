//! Password authentication with SCRAM-SHA-256.
//!
//! A user file has one line `name:verifier` for each user, with the verifier in the
//! format in which PostgreSQL stores it. The exchange itself is implemented by `pgwire`.

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

/// Name of the SASL mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Length of a salt in bytes.
pub const SALT_BYTES: usize = 16;

/// Length of a stored key and of a server key, in bytes.
const KEY_BYTES: usize = 32;

/// Error in a verifier, a user file or a login.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The verifier does not have the format of PostgreSQL.
    #[strum(
        to_string = "a verifier must have the form SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER"
    )]
    Verifier,
    /// A line of the user file does not have the form `name:verifier`, or its verifier is
    /// invalid.
    #[strum(to_string = "line {line} must have the form NAME:VERIFIER")]
    Line {
        /// Line number, counted from 1.
        line: usize,
    },
    /// A message of the exchange is malformed, or the password is wrong.
    #[strum(to_string = "the password is wrong")]
    Refused,
}

impl std::error::Error for Failure {}

/// Verifier of a password, stored in place of the password. The `Debug` output shows
/// none of its content.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: usize,
    salt: Vec<u8>,
    stored_key: Vec<u8>,
    server_key: Vec<u8>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier(..)")
    }
}

impl Verifier {
    /// Computes the verifier of a password.
    pub fn new(password: &str, salt: &[u8]) -> Self {
        let salted = gen_salted_password(password, salt, SCRAM_ITERATIONS);
        let salt = salt.to_vec();
        let secret = ScramSecret::verifier_from_salted_password(salt, salted, SCRAM_ITERATIONS);
        match secret {
            ScramSecret::Verifier { salt, iterations, stored_key, server_key } => {
                Self { iterations, salt, stored_key, server_key }
            }
            ScramSecret::SaltedPassword { salt, salted_password } => Self {
                iterations: SCRAM_ITERATIONS,
                salt,
                stored_key: salted_password.clone(),
                server_key: salted_password,
            },
        }
    }

    /// Starts an exchange with the client's first message, and returns the server's
    /// answer.
    ///
    /// # Errors
    /// [`Failure::Refused`] if the message is malformed.
    pub fn start(&self, first: &[u8]) -> Result<(String, Exchange), Report<Failure>> {
        let secret = ScramSecret::Verifier {
            salt: self.salt.clone(),
            iterations: self.iterations,
            stored_key: self.stored_key.clone(),
            server_key: self.server_key.clone(),
        };
        let server = ScramServerAuth::new();
        let started = server.on_client_first_message_with_secret(first, secret);
        let (answer, waiting) = started.change_context(Failure::Refused)?;
        Ok((answer, Exchange(waiting)))
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (salt, stored) = (STANDARD.encode(&self.salt), STANDARD.encode(&self.stored_key));
        let server = STANDARD.encode(&self.server_key);
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
            stored_key: key(stored)?,
            server_key: key(server)?,
        })
    }
}

/// Exchange that is waiting for the client's final message.
#[derive(Debug)]
pub struct Exchange(ScramServerAuthWaitingForClientFinal);

impl Exchange {
    /// Verifies the client's final message and returns the server's final message.
    ///
    /// # Errors
    /// [`Failure::Refused`] if the message is malformed or the password is wrong.
    pub fn finish(&self, last: &[u8]) -> Result<String, Report<Failure>> {
        self.0.on_client_final_message(last).change_context(Failure::Refused)
    }
}

/// Verifiers of all users, by user name.
#[derive(Clone, Debug, Default)]
pub struct Users {
    verifiers: BTreeMap<String, Verifier>,
}

impl Users {
    /// Returns the verifier of a user.
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
            let failure = Failure::Line { line: index + 1 };
            let (name, verifier) = line.split_once(':').ok_or(failure)?;
            let verifier: Verifier = verifier
                .parse()
                .map_err(|report: Report<Failure>| report.change_context(failure))?;
            verifiers.insert(name.to_owned(), verifier);
        }
        Ok(Self { verifiers })
    }
}
