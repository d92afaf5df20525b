//! Limits over all hosts: their sum under failures, how much of them is served, and the
//! messages that this takes.

mod change;
mod messages;
mod record;
mod served;
mod sum;
mod world;
