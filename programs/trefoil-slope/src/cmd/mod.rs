//! Measurements, one module each.

pub(crate) mod beat;
pub(crate) mod change;
pub(crate) mod lead;
pub(crate) mod memory;
pub(crate) mod restart;
pub(crate) mod traffic;
