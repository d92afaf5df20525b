//! Control members among themselves.
