//! Messages between the system's own processes, and the common settings of
//! their encoding.
//!
//! Messages are `prost` structs by derive, so no generator is needed and a
//! field that one side does not know is passed over: processes of two
//! neighbouring releases work together.
//!
//! - [`data`]: a front asks a keeper to run statements.
//! - [`control`]: an entry follows the control log and renews its leases.
//! - [`log`]: commands of the control log.
//! - [`pack`]: long texts, deflated.
//! - [`plain`]: plain statements as they travel through [`data`].
//! - [`quorum`]: control members among themselves.

pub mod control;
pub mod data;
pub mod log;
pub mod mark;
pub mod pack;
pub mod plain;
pub mod quorum;

pub use prost::Message;
