//! Rendezvous hashing: the target with the highest score serves a key, so that a target
//! that joins or leaves moves only its own keys.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Score of a target for a key.
pub fn score(key: &str, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), xxh3_64(key.as_bytes()))
}
