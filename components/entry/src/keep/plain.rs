//! A connection to a backend server that takes plain statements.
//!
//! Before a statement runs, the session on the connection is brought into the
//! state that the request needs: values that differ are set, a statement that is
//! not prepared yet is prepared, and a transaction is begun. Each step is sent
//! only after the answer to the one before, since no step may run after one that
//! has failed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use keeper::{Connection, Event, Kind, Outage, Piece, Reported};
use plain::{Access, Dialect, ErrorKind, Order, Reply, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use wire::Message as _;
use wire::plain::{Begin, Task, Value};

use super::conn::{CloseGuard, Command, Control, QUEUE_COMMANDS};
use super::shard::Shard;

/// Timeout for connecting, and again for starting the session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of buffer space for one read from the socket.
const READ_BYTES: usize = 4 << 10;

/// Limit on the bytes of rows in one answer.
const MAX_ROWS_BYTES: usize = 1 << 20;

/// Number of prepared statements above which a connection resets its session.
const MAX_PREPARED: usize = 512;

/// Reason for the failure of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
enum Failure {
    /// The socket failed or was closed by the server.
    Io,
    /// Connecting or starting the session took longer than [`OPEN_TIMEOUT`].
    Timeout,
    /// The server refused to start the session.
    Refused,
    /// The server sent an answer that was not expected or is too long, or the group
    /// sent a command that cannot be executed.
    Disorder,
}

impl std::error::Error for Failure {}

/// Starts a connection's task.
pub(super) fn open(
    shard: &Arc<Shard>,
    conn: Key<Connection>,
    (server, address): (Name, SocketAddr),
    team: Option<Name>,
    dialect: Arc<dyn Dialect>,
) -> Control {
    let (commands, command_queue) = mpsc::channel(QUEUE_COMMANDS);
    let (paused, _) = watch::channel(false);
    let shard = Arc::clone(shard);
    let task = tokio::spawn(async move {
        // owned by the task, so that the guard is also dropped when the task is aborted
        let guard = CloseGuard { shard, conn };
        let target = (server.clone(), address);
        let result = run(&guard.shard, conn, target, team, dialect, command_queue).await;
        if let Err(report) = result {
            slog::debug!(guard.shard.log(), "connection to a backend server failed";
                "server" => %server, "error" => %report);
        }
    });
    Control { commands, paused, task: task.abort_handle() }
}

async fn run(
    shard: &Arc<Shard>,
    conn: Key<Connection>,
    (server, address): (Name, SocketAddr),
    team: Option<Name>,
    dialect: Arc<dyn Dialect>,
    mut commands: mpsc::Receiver<Command>,
) -> Result<(), Report<Failure>> {
    let sent = shard.clock().now();
    let opened = tokio::time::timeout(OPEN_TIMEOUT, connect(address)).await;
    let io = match opened {
        Ok(Ok(io)) => io,
        Ok(Err(report)) => {
            shard.feed(Event::Unreachable { server, outage: Outage::Refused });
            return Err(report);
        }
        Err(_elapsed) => {
            shard.feed(Event::Unreachable { server, outage: Outage::Silent });
            return Err(Report::new(Failure::Timeout));
        }
    };
    let mut session = Session {
        shard: Arc::clone(shard),
        conn,
        dialect,
        io,
        input: BytesMut::with_capacity(READ_BYTES),
        values: BTreeMap::new(),
        prepared: HashMap::new(),
        work: None,
    };
    let start = Order::Start { group: shard.name().clone(), server: server.clone(), team };
    let ready = tokio::time::timeout(OPEN_TIMEOUT, session.start(start)).await;
    let mark = match ready.change_context(Failure::Timeout).and_then(|ready| ready) {
        Ok(mark) => mark,
        Err(report) => {
            let outage = match report.current_context() {
                Failure::Timeout => Some(Outage::Silent),
                Failure::Refused => None,
                Failure::Io | Failure::Disorder => Some(Outage::Refused),
            };
            if let Some(outage) = outage {
                shard.feed(Event::Unreachable { server, outage });
            }
            return Err(report);
        }
    };
    let reported = Reported { status: b'I', error_kind: None, mark, sent };
    shard.feed(Event::Reported { conn, reported });
    session.serve(&mut commands).await
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Report<Failure>> {
    let io = TcpStream::connect(address).await.change_context(Failure::Io)?;
    link::socket::tune(&io).change_context(Failure::Io)?;
    Ok(io)
}

/// Progress of one command.
#[derive(Debug)]
struct Work {
    /// Orders that are still to be sent, the next one first.
    steps: VecDeque<Order>,
    /// Order that is waiting for its answer.
    current: Order,
    /// Rows of the answer to the current order.
    rows: Vec<Bytes>,
    /// Total length of `rows` in bytes.
    rows_bytes: usize,
    complete: Option<Bytes>,
    error: Option<(ErrorKind, Bytes)>,
    /// Time when the first [`Order`] of the command was sent to the server.
    sent: Instant,
}

struct Session {
    shard: Arc<Shard>,
    conn: Key<Connection>,
    dialect: Arc<dyn Dialect>,
    io: TcpStream,
    input: BytesMut,
    /// Session values that are set on the connection, by name.
    values: BTreeMap<Bytes, Bytes>,
    /// Numbers of the statements prepared on the connection, by access and shape.
    prepared: HashMap<(Access, Bytes), u64>,
    work: Option<Work>,
}

impl Session {
    /// Starts the session on the server; returns the server's mark.
    async fn start(&mut self, start: Order) -> Result<Option<Mark>, Report<Failure>> {
        self.send(&start).await?;
        loop {
            match self.dialect.decode_reply(&mut self.input).change_context(Failure::Disorder)? {
                Some(Reply::Ready { mark, .. }) => return Ok(mark),
                Some(Reply::Error { error_kind, .. }) => {
                    self.shard.feed(Event::Refused { conn: self.conn, error_kind });
                    return Err(Report::new(Failure::Refused));
                }
                Some(_) => return Err(Report::new(Failure::Disorder)),
                None => self.fill().await?,
            }
        }
    }

    async fn serve(
        &mut self,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Result<(), Report<Failure>> {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    None | Some(Command::Close) => return Ok(()),
                    Some(command) => self.execute(command).await?,
                },
                filled = fill(&mut self.io, &mut self.input) => {
                    filled?;
                    while let Some(reply) =
                        self.dialect.decode_reply(&mut self.input).change_context(Failure::Disorder)?
                    {
                        self.handle_reply(reply).await?;
                    }
                }
            }
        }
    }

    async fn execute(&mut self, command: Command) -> Result<(), Report<Failure>> {
        let steps = match command {
            Command::Send { bytes, wait } => {
                let task = Task::decode(bytes).change_context(Failure::Disorder)?;
                self.steps(&task, wait)
            }
            Command::RollBack => VecDeque::from([Order::Rollback]),
            Command::Mark => VecDeque::from([Order::Status]),
            // a plain statement can only be cancelled by closing its connection
            Command::Cancel | Command::Close => return Ok(()),
        };
        if self.work.is_some() {
            return Err(Report::new(Failure::Disorder));
        }
        let sent = self.shard.clock().now();
        self.send_next(steps, sent).await
    }

    /// Returns the orders that must be sent for a task, in this sequence.
    fn steps(&mut self, task: &Task, wait: Option<Mark>) -> VecDeque<Order> {
        let mut steps = VecDeque::new();
        let is_needed = |name: &Bytes| task.values.iter().any(|value| value.name == *name);
        if !self.values.keys().all(is_needed) || self.prepared.len() > MAX_PREPARED {
            steps.push_back(Order::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for Value { name, value } in &task.values {
            if self.values.get(name) != Some(value) {
                steps.push_back(Order::Set { name: name.clone(), value: value.clone() });
            }
        }
        let begin = match task.begin() {
            Begin::None => None,
            Begin::Write => Some(Access::Write),
            Begin::Read => Some(Access::Read),
        };
        let (begin_wait, statement_wait) =
            if begin.is_some() { (wait, None) } else { (None, wait) };
        let (prepare, statement) = self.statement_orders(task, statement_wait);
        steps.extend(prepare);
        if let Some(access) = begin {
            steps.push_back(Order::Begin { wait: begin_wait, access });
        }
        steps.push_back(statement);
        steps
    }

    /// Returns the order that prepares a task's statement, if it is not prepared
    /// yet, and the order that runs the statement.
    fn statement_orders(&self, task: &Task, wait: Option<Mark>) -> (Option<Order>, Order) {
        let id = task.id.clone();
        let Some(execute) = task.execute.clone() else {
            return (None, Order::Run { id, wait, text: task.text.clone() });
        };
        let access = if execute.writes { Access::Write } else { Access::Read };
        let shape = execute.shape;
        let known = self.prepared.get(&(access, shape.clone())).copied();
        let number = known.unwrap_or(self.prepared.len() as u64 + 1);
        let prepare = known.is_none().then_some(Order::Prepare { number, access, shape });
        (prepare, Order::Execute { id, wait, number, arguments: execute.arguments })
    }

    /// Sends the first of `steps` and keeps the rest for later.
    async fn send_next(
        &mut self,
        mut steps: VecDeque<Order>,
        sent: Instant,
    ) -> Result<(), Report<Failure>> {
        let Some(current) = steps.pop_front() else {
            return Err(Report::new(Failure::Disorder));
        };
        self.send(&current).await?;
        self.work = Some(Work {
            steps,
            current,
            rows: Vec::new(),
            rows_bytes: 0,
            complete: None,
            error: None,
            sent,
        });
        Ok(())
    }

    async fn handle_reply(&mut self, reply: Reply) -> Result<(), Report<Failure>> {
        let Some(work) = self.work.as_mut() else {
            return Err(Report::new(Failure::Disorder));
        };
        let is_answered = work.complete.is_some() || work.error.is_some();
        match reply {
            Reply::Row(row) if !is_answered => {
                work.rows_bytes += row.len();
                work.rows.push(row);
                if work.rows_bytes > MAX_ROWS_BYTES {
                    return Err(Report::new(Failure::Disorder));
                }
                Ok(())
            }
            Reply::Complete(complete) if !is_answered => {
                work.complete = Some(complete);
                Ok(())
            }
            Reply::Error { error_kind, text } if !is_answered => {
                work.error = Some((error_kind, text));
                Ok(())
            }
            Reply::Ready { status, mark } if is_answered => self.finish_step(status, mark).await,
            _ => Err(Report::new(Failure::Disorder)),
        }
    }

    /// Sends the next step, or reports the end of the command to the group.
    async fn finish_step(
        &mut self,
        status: Status,
        mark: Option<Mark>,
    ) -> Result<(), Report<Failure>> {
        let Some(work) = self.work.take() else {
            return Err(Report::new(Failure::Disorder));
        };
        let error_kind = work.error.as_ref().map(|(error_kind, _)| *error_kind);
        self.record_step(&work.current, error_kind);
        if error_kind.is_none() && !work.steps.is_empty() {
            return self.send_next(work.steps, work.sent).await;
        }
        let (conn, last) = (self.conn, work.steps.is_empty());
        // if a step before the statement failed, the statement did not run
        let error_kind = if last { error_kind } else { error_kind.map(not_run_error) };
        if last && is_statement(&work.current) {
            let reply = wire::plain::Reply {
                rows: work.rows,
                complete: work.complete,
                error: work.error.map(|(_, text)| text),
            };
            if error_kind.is_none_or(|error_kind| !error_kind.is_not_run())
                || status != Status::Idle
            {
                let piece = Piece { bytes: reply.encode_to_vec().into(), kind: Kind::Complete };
                self.shard.feed(Event::Piece { conn, piece });
            }
        }
        let status = match status {
            Status::Idle => b'I',
            Status::Open => b'T',
            Status::Failed => b'E',
        };
        let reported = Reported { status, error_kind, mark, sent: work.sent };
        self.shard.feed(Event::Reported { conn, reported });
        Ok(())
    }

    /// Records the effect of a step on the connection's session.
    fn record_step(&mut self, order: &Order, error_kind: Option<ErrorKind>) {
        match order {
            Order::Set { name, value } if error_kind.is_none() => {
                self.values.insert(name.clone(), value.clone());
            }
            Order::Prepare { number, access, shape } if error_kind.is_none() => {
                self.prepared.insert((*access, shape.clone()), *number);
            }
            // the next task prepares its statement again
            Order::Execute { .. } if error_kind == Some(ErrorKind::Unprepared) => {
                self.prepared.clear();
            }
            _ => {}
        }
    }

    async fn send(&mut self, order: &Order) -> Result<(), Report<Failure>> {
        let mut bytes = BytesMut::new();
        self.dialect.encode_order(order, &mut bytes);
        self.io.write_all(&bytes).await.change_context(Failure::Io)
    }

    async fn fill(&mut self) -> Result<(), Report<Failure>> {
        fill(&mut self.io, &mut self.input).await
    }
}

async fn fill(io: &mut TcpStream, input: &mut BytesMut) -> Result<(), Report<Failure>> {
    input.reserve(READ_BYTES);
    match io.read_buf(input).await.change_context(Failure::Io)? {
        0 => Err(Report::new(Failure::Io)),
        _ => Ok(()),
    }
}

fn is_statement(order: &Order) -> bool {
    matches!(order, Order::Run { .. } | Order::Execute { .. })
}

/// Returns the kind of error of a statement that did not run because a step before it
/// failed.
fn not_run_error(error_kind: ErrorKind) -> ErrorKind {
    if error_kind.is_not_run() { error_kind } else { ErrorKind::Busy }
}
