//! Simulated connections: jobs that a server is to run, and events in transit
//! to the group.

use std::collections::VecDeque;

use base::prelude::*;
use bytes::Bytes;
use keeper::{Connection, Event, Kind, Piece};

use crate::oracle::{Oracle, Reply, Verb};
use crate::server::Server;

/// A job that a server is to run for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    Run { id: u64, owner: usize },
    Rollback,
    Mark,
}

/// An open transaction on a server.
#[derive(Clone, Debug, Default)]
pub struct Open {
    pub owner: usize,
    pub ops: Vec<u64>,
    pub term: Term,
}

/// A simulated connection.
#[derive(Debug)]
pub struct Link {
    pub conn: Key<Connection>,
    pub server: usize,
    pub established: bool,
    pub jobs: VecDeque<Job>,
    pub open: Option<Open>,
    /// Events in transit to the group.
    pub events: VecDeque<Event>,
    /// Number of cycles sent whose end the group has not received.
    pub unfinished: u32,
    /// Whether the outstanding cycle belongs to a caller, not to a rollback.
    pub runs: bool,
    pub paused: bool,
}

impl Link {
    pub fn new(conn: Key<Connection>, server: usize) -> Self {
        Self {
            conn,
            server,
            established: false,
            jobs: VecDeque::new(),
            open: None,
            events: VecDeque::new(),
            unfinished: 0,
            runs: false,
            paused: false,
        }
    }

    /// Runs the next job on the server.
    pub fn execute(&mut self, server: &mut Server, oracle: &mut Oracle) {
        let Some(job) = self.jobs.pop_front() else {
            return;
        };
        let conn = self.conn;
        match job {
            Job::Mark => {
                let mark = Mark { term: server.term, position: server.last().position };
                self.events.push_back(Event::Marked { conn, mark });
            }
            Job::Rollback => {
                self.open = None;
                self.events.push_back(Event::Cycle { conn, status: b'I', failed: false });
            }
            Job::Run { id, owner } => self.run(id, owner, server, oracle),
        }
    }

    fn run(&mut self, id: u64, owner: usize, server: &mut Server, oracle: &mut Oracle) {
        let request =
            oracle.requests.values().find(|request| request.id == id).expect("a known request");
        let (verb, conn) = (request.verb, self.conn);
        if let Some(open) = &self.open {
            assert_eq!(open.owner, owner, "request {id} ran in another caller's transaction");
        }
        let primary = server.role == Role::Primary;
        let mut failed = false;
        match verb {
            Verb::Begin => self.open = Some(Open { owner, ops: Vec::new(), term: server.term }),
            Verb::Read => {}
            Verb::Rollback => self.open = None,
            Verb::Write => match &mut self.open {
                Some(open) => open.ops.push(id),
                None if primary => server.append(vec![id]),
                None => failed = true,
            },
            Verb::Commit => match self.open.take() {
                Some(open) if primary && open.term == server.term => server.append(open.ops),
                _ => failed = true,
            },
        }
        let number = oracle.replies.len();
        oracle.replies.push(Reply { id, failed, seen: server.visible() });
        let kind = match verb {
            Verb::Commit if !failed => Kind::Commit,
            _ => Kind::Complete,
        };
        let piece = Piece { bytes: Bytes::from(number.to_string()), kind };
        let status = if self.open.is_some() { b'T' } else { b'I' };
        self.events.push_back(Event::Piece { conn, piece });
        self.events.push_back(Event::Cycle { conn, status, failed });
    }
}
