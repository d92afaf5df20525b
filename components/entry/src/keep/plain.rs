//! One connection to a backend server that takes plain statements.
//!
//! Its session is brought into the state that a request needs before the
//! statement runs: values are set where they differ, a statement is prepared
//! where it is not yet, a transaction is begun. All that goes one by one, since
//! what follows a step that failed must not run.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use keeper::{Connection, Event, Kind, Piece, Reported, Trouble};
use plain::{Access, Dialect, Fault, Order, Reply, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use wire::Message as _;
use wire::plain::{Begin, Task, Value};

use super::conn::{COMMAND_QUEUE, CloseGuard, Command, Control};
use super::shard::Shard;

/// Longest time for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that a connection reads at once.
const READ_BYTES: usize = 4 << 10;

/// Most bytes of rows in one answer.
const ROWS_BYTES: usize = 1 << 20;

/// Prepared statements of a connection; beyond that it starts anew.
const PREPARED: usize = 512;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
enum Failure {
    /// The socket failed or was closed by the server.
    Io,
    /// It took too long.
    Timeout,
    /// The server refused the session.
    Refused,
    /// An answer came that was not due, or that is too long.
    Disorder,
}

impl std::error::Error for Failure {}

/// Starts a connection's task.
pub(super) fn open(
    shard: &Arc<Shard>,
    conn: Key<Connection>,
    server: Name,
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
) -> Control {
    let (commands, taken) = mpsc::channel(COMMAND_QUEUE);
    let (paused, _) = watch::channel(false);
    let shard = Arc::clone(shard);
    let task = tokio::spawn(async move {
        // held by the task, so that it is dropped also when the task is aborted
        let guard = CloseGuard { shard, conn };
        let ran = run(&guard.shard, conn, server.clone(), address, dialect, taken).await;
        if let Err(report) = ran {
            slog::debug!(guard.shard.log(), "connection ended"; "server" => %server,
                "error" => %report);
        }
    });
    Control { commands, paused, task: task.abort_handle() }
}

async fn run(
    shard: &Arc<Shard>,
    conn: Key<Connection>,
    server: Name,
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    mut commands: mpsc::Receiver<Command>,
) -> Result<(), Report<Failure>> {
    let sent = shard.clock().now();
    let opened = tokio::time::timeout(OPEN_TIMEOUT, connect(address)).await;
    let io = match opened {
        Ok(Ok(io)) => io,
        Ok(Err(report)) => {
            shard.feed(Event::Unreached { server, trouble: Trouble::Refused });
            return Err(report);
        }
        Err(_elapsed) => {
            shard.feed(Event::Unreached { server, trouble: Trouble::Silent });
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
    let start = Order::Start { group: shard.name().clone(), server: server.clone() };
    let ready = tokio::time::timeout(OPEN_TIMEOUT, session.start(start)).await;
    let mark = match ready.change_context(Failure::Timeout).and_then(|ready| ready) {
        Ok(mark) => mark,
        Err(report) => {
            let trouble = match report.current_context() {
                Failure::Timeout => Some(Trouble::Silent),
                Failure::Refused => None,
                Failure::Io | Failure::Disorder => Some(Trouble::Refused),
            };
            if let Some(trouble) = trouble {
                shard.feed(Event::Unreached { server, trouble });
            }
            return Err(report);
        }
    };
    let reported = Reported { status: b'I', fault: None, mark, sent };
    shard.feed(Event::Reported { conn, reported });
    session.serve(&mut commands).await
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Report<Failure>> {
    let io = TcpStream::connect(address).await.change_context(Failure::Io)?;
    link::socket::tune(&io).change_context(Failure::Io)?;
    Ok(io)
}

/// What is done for one command.
#[derive(Debug)]
struct Work {
    /// Orders that are still to be sent, the first one next.
    steps: VecDeque<Order>,
    /// The order that waits for its answer.
    current: Order,
    rows: Vec<Bytes>,
    rows_bytes: usize,
    complete: Option<Bytes>,
    error: Option<(Fault, Bytes)>,
    sent: Instant,
}

struct Session {
    shard: Arc<Shard>,
    conn: Key<Connection>,
    dialect: Arc<dyn Dialect>,
    io: TcpStream,
    input: BytesMut,
    /// Values that are set on the connection.
    values: BTreeMap<Bytes, Bytes>,
    /// Numbers of the statements that are prepared on it.
    prepared: HashMap<(Access, Bytes), u64>,
    work: Option<Work>,
}

impl Session {
    async fn start(&mut self, start: Order) -> Result<Option<Mark>, Report<Failure>> {
        self.send(&start).await?;
        loop {
            match self.dialect.reply(&mut self.input).change_context(Failure::Disorder)? {
                Some(Reply::Ready { mark, .. }) => return Ok(mark),
                Some(Reply::Error { .. }) => return Err(Report::new(Failure::Refused)),
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
                    Some(command) => self.obey(command).await?,
                },
                filled = fill(&mut self.io, &mut self.input) => {
                    filled?;
                    while let Some(reply) =
                        self.dialect.reply(&mut self.input).change_context(Failure::Disorder)?
                    {
                        self.take(reply).await?;
                    }
                }
            }
        }
    }

    async fn obey(&mut self, command: Command) -> Result<(), Report<Failure>> {
        let steps = match command {
            Command::Send { bytes, wait } => {
                let task = Task::decode(bytes).change_context(Failure::Disorder)?;
                self.steps(&task, wait)
            }
            Command::RollBack => VecDeque::from([Order::Rollback]),
            Command::Mark => VecDeque::from([Order::Status]),
            // closing the connection is all that ends a statement
            Command::Cancel | Command::Close => return Ok(()),
        };
        if self.work.is_some() {
            return Err(Report::new(Failure::Disorder));
        }
        let sent = self.shard.clock().now();
        self.next(steps, sent).await
    }

    /// All that must be sent for a task, in order.
    fn steps(&mut self, task: &Task, wait: Option<Mark>) -> VecDeque<Order> {
        let mut steps = VecDeque::new();
        let wanted = |name: &Bytes| task.values.iter().any(|value| value.name == *name);
        if !self.values.keys().all(wanted) || self.prepared.len() > PREPARED {
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
        let (before, own) = if begin.is_some() { (wait, None) } else { (None, wait) };
        let (prepare, statement) = self.statement(task, own);
        steps.extend(prepare);
        if let Some(access) = begin {
            steps.push_back(Order::Begin { wait: before, access });
        }
        steps.push_back(statement);
        steps
    }

    /// The order that runs a task's statement, and the one that prepares it, if
    /// that is not done yet.
    fn statement(&self, task: &Task, wait: Option<Mark>) -> (Option<Order>, Order) {
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

    /// Sends the first of the steps.
    async fn next(
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

    async fn take(&mut self, reply: Reply) -> Result<(), Report<Failure>> {
        let Some(work) = self.work.as_mut() else {
            return Err(Report::new(Failure::Disorder));
        };
        let over = work.complete.is_some() || work.error.is_some();
        match reply {
            Reply::Row(row) if !over => {
                work.rows_bytes += row.len();
                work.rows.push(row);
                if work.rows_bytes > ROWS_BYTES {
                    return Err(Report::new(Failure::Disorder));
                }
                Ok(())
            }
            Reply::Complete(complete) if !over => {
                work.complete = Some(complete);
                Ok(())
            }
            Reply::Error { fault, text } if !over => {
                work.error = Some((fault, text));
                Ok(())
            }
            Reply::Ready { status, mark } if over => self.over(status, mark).await,
            _ => Err(Report::new(Failure::Disorder)),
        }
    }

    /// Goes on to the next step, or tells the group that all is over.
    async fn over(&mut self, status: Status, mark: Option<Mark>) -> Result<(), Report<Failure>> {
        let Some(work) = self.work.take() else {
            return Err(Report::new(Failure::Disorder));
        };
        let fault = work.error.as_ref().map(|(fault, _)| *fault);
        self.learn(&work.current, fault);
        if fault.is_none() && !work.steps.is_empty() {
            return self.next(work.steps, work.sent).await;
        }
        let (conn, last) = (self.conn, work.steps.is_empty());
        // a step before the statement failed, so the statement did not run
        let fault = if last { fault } else { fault.map(not_run) };
        if last && is_statement(&work.current) {
            let reply = wire::plain::Reply {
                rows: work.rows,
                complete: work.complete,
                error: work.error.map(|(_, text)| text),
            };
            if fault.is_none_or(|fault| !fault.is_not_run()) || status != Status::Idle {
                let piece = Piece { bytes: reply.encode_to_vec().into(), kind: Kind::Complete };
                self.shard.feed(Event::Piece { conn, piece });
            }
        }
        let status = match status {
            Status::Idle => b'I',
            Status::Open => b'T',
            Status::Failed => b'E',
        };
        let reported = Reported { status, fault, mark, sent: work.sent };
        self.shard.feed(Event::Reported { conn, reported });
        Ok(())
    }

    /// Notes what a step has changed on the connection.
    fn learn(&mut self, order: &Order, fault: Option<Fault>) {
        match order {
            Order::Set { name, value } if fault.is_none() => {
                self.values.insert(name.clone(), value.clone());
            }
            Order::Prepare { number, access, shape } if fault.is_none() => {
                self.prepared.insert((*access, shape.clone()), *number);
            }
            // it starts anew with the next task
            Order::Execute { .. } if fault == Some(Fault::Unprepared) => self.prepared.clear(),
            _ => {}
        }
    }

    async fn send(&mut self, order: &Order) -> Result<(), Report<Failure>> {
        let mut bytes = BytesMut::new();
        self.dialect.order(order, &mut bytes);
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

/// What a failed step before a statement means for the statement.
fn not_run(fault: Fault) -> Fault {
    if fault.is_not_run() { fault } else { Fault::Busy }
}
