//! Placeholder head, replaced by the area's own.
