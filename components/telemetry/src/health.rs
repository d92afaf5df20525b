//! Readiness of a process to take work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Readiness of a process, shared between its tasks.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ready: Arc<AtomicBool>,
}

impl Health {
    /// Makes the health of a process that isn't ready yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the process takes new work, and returns the previous value.
    pub fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::AcqRel)
    }

    /// Whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}
