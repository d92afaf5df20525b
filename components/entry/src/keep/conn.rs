//! A PostgreSQL connection to a backend server.
//!
//! The connection's task opens the socket, writes what the group sends, and
//! turns the server's answers into events. The last event of a connection is
//! [`Event::Closed`], sent once the socket is closed.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::{BufMut, Bytes, BytesMut};
use keeper::{Connection, Event};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

use super::answer::{self, Assembler, Message, Step};
use super::shard::Shard;

/// Database user for all statements.
const USER: &str = "trefoil";

/// Timeout for connecting and logging in.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the server to close its end of a terminated connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Length of a connection's command queue.
pub(super) const QUEUE_COMMANDS: usize = 16;

/// Bytes of buffer space for one read from the socket.
const READ_BYTES: usize = 32 << 10;

const PROTOCOL_VERSION: u32 = 3 << 16;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const TERMINATE_MESSAGE: &[u8] = &[b'X', 0, 0, 0, 4];
const MARK_QUERY: &str = "SELECT * FROM trefoil_mark()";

/// Command from a group to a connection.
#[derive(Debug)]
pub(super) enum Command {
    /// Sends the messages of a cycle. A server of an unfenced group runs them only
    /// once it has reached the mark `wait`.
    Send {
        bytes: Bytes,
        wait: Option<Mark>,
    },
    RollBack,
    /// Asks the server for its mark.
    Mark,
    Cancel,
    Close,
}

/// Handle with which a group controls a connection's task.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) commands: mpsc::Sender<Command>,
    /// Whether the task should stop reading from the server.
    pub(super) paused: watch::Sender<bool>,
    pub(super) task: tokio::task::AbortHandle,
}

impl Control {
    /// Queues a command; aborts the connection if its queue is full or closed.
    pub(super) fn send(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            self.task.abort();
        }
    }

    pub(super) fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    pub(super) fn abort(&self) {
        self.task.abort();
    }
}

/// Reason for the failure of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
enum Failure {
    /// The socket failed or was closed by the server.
    Io,
    /// Connecting and logging in took longer than [`OPEN_TIMEOUT`].
    Timeout,
    /// The server refused the login or asked for a password.
    Login,
    /// The server sent a message that was not expected.
    Disorder,
}

impl std::error::Error for Failure {}

/// Guard that reports a connection as closed to its group when dropped, however
/// the connection's task ended.
pub(super) struct CloseGuard {
    pub(super) shard: Arc<Shard>,
    pub(super) conn: Key<Connection>,
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.shard.remove(self.conn);
        self.shard.feed(Event::Closed { conn: self.conn });
    }
}

/// Starts a connection's task.
pub(super) fn open(shard: &Arc<Shard>, conn: Key<Connection>, address: SocketAddr) -> Control {
    let (commands, command_queue) = mpsc::channel(QUEUE_COMMANDS);
    let (paused, pause_changes) = watch::channel(false);
    let shard = Arc::clone(shard);
    let task = tokio::spawn(async move {
        // owned by the task, so that the guard is also dropped when the task is aborted
        let guard = CloseGuard { shard, conn };
        let result = run(&guard.shard, conn, address, command_queue, pause_changes).await;
        if let Err(report) = result {
            slog::debug!(guard.shard.log(), "connection to a backend server failed";
                "error" => format!("{report:?}"));
        }
    });
    Control { commands, paused, task: task.abort_handle() }
}

async fn run(
    shard: &Arc<Shard>,
    conn: Key<Connection>,
    address: SocketAddr,
    commands: mpsc::Receiver<Command>,
    paused: watch::Receiver<bool>,
) -> Result<(), Report<Failure>> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, log_in(shard.name(), address)).await;
    let (read, write, buffer, cancel_key) = opened.change_context(Failure::Timeout)??;
    let (bytes, outgoing) = mpsc::channel(QUEUE_COMMANDS);
    let writer = tokio::spawn(write_all(write, outgoing));
    shard.feed(Event::Opened { conn });
    let mut session = Session {
        shard: Arc::clone(shard),
        conn,
        address,
        cancel_key,
        read,
        buffer,
        bytes,
        expected: Expected::Nothing,
        assembler: Assembler::default(),
    };
    let ended = session.serve(commands, paused).await;
    if ended.is_ok() {
        session.terminate().await;
    }
    // the socket closes only after both of its halves are dropped
    drop(session);
    writer.abort();
    drop(writer.await);
    ended
}

async fn write_all(mut io: OwnedWriteHalf, mut bytes: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = bytes.recv().await {
        if io.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Answer that is expected from the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Nothing,
    /// Messages of a query cycle, up to ReadyForQuery.
    Cycle,
    /// Answer to [`MARK_QUERY`], with the mark once its row has been read.
    Mark(Option<Mark>),
}

struct Session {
    shard: Arc<Shard>,
    conn: Key<Connection>,
    address: SocketAddr,
    /// Body of the server's `BackendKeyData` message, for cancel requests.
    cancel_key: Option<Bytes>,
    read: OwnedReadHalf,
    buffer: BytesMut,
    /// Queue of the task that writes to the socket.
    bytes: mpsc::Sender<Bytes>,
    expected: Expected,
    assembler: Assembler,
}

impl Session {
    async fn serve(
        &mut self,
        mut commands: mpsc::Receiver<Command>,
        mut paused: watch::Receiver<bool>,
    ) -> Result<(), Report<Failure>> {
        loop {
            let reads = !*paused.borrow_and_update();
            tokio::select! {
                command = commands.recv() => match command {
                    None | Some(Command::Close) => return Ok(()),
                    Some(command) => self.execute(command)?,
                },
                _ = paused.changed() => {}
                read = self.read.read_buf(&mut self.buffer), if reads => {
                    if read.change_context(Failure::Io)? == 0 {
                        return Err(Report::new(Failure::Io));
                    }
                    self.process_buffer()?;
                }
            }
        }
    }

    /// Terminates the session and waits until the server has closed the
    /// connection: until then, a statement that still runs occupies a slot and a
    /// connection on the server.
    async fn terminate(&mut self) {
        if self.expected == Expected::Cycle {
            self.cancel();
        }
        drop(self.bytes.try_send(Bytes::from_static(TERMINATE_MESSAGE)));
        // dropping the last sender ends the writer, which then shuts down its half
        (self.bytes, _) = mpsc::channel(1);
        let drained = async {
            let mut discarded = BytesMut::with_capacity(READ_BYTES);
            while self.read.read_buf(&mut discarded).await.is_ok_and(|read| read > 0) {
                discarded.clear();
            }
        };
        drop(tokio::time::timeout(CLOSE_TIMEOUT, drained).await);
    }

    fn execute(&mut self, command: Command) -> Result<(), Report<Failure>> {
        let bytes = match command {
            Command::Send { bytes, .. } => {
                self.expected = Expected::Cycle;
                bytes
            }
            Command::RollBack => {
                self.expected = Expected::Cycle;
                query("ROLLBACK")
            }
            Command::Mark => {
                self.expected = Expected::Mark(None);
                query(MARK_QUERY)
            }
            Command::Cancel => {
                self.cancel();
                return Ok(());
            }
            Command::Close => return Ok(()),
        };
        self.bytes.try_send(bytes).change_context(Failure::Io)
    }

    fn cancel(&self) {
        let Some(body) = self.cancel_key.clone() else {
            return;
        };
        let address = self.address;
        tokio::spawn(async move {
            let mut bytes = BytesMut::with_capacity(16);
            bytes.put_u32(16);
            bytes.put_u32(CANCEL_REQUEST_CODE);
            bytes.put_slice(&body);
            if let Ok(mut stream) = TcpStream::connect(address).await {
                drop(stream.write_all(&bytes).await);
            }
        });
    }

    /// Processes all complete messages in the read buffer.
    fn process_buffer(&mut self) -> Result<(), Report<Failure>> {
        let mut steps = Vec::new();
        while let Some(message) =
            answer::next_message(&mut self.buffer).change_context(Failure::Disorder)?
        {
            self.process_message(message, &mut steps)?;
        }
        if self.expected == Expected::Cycle {
            self.assembler.flush(&mut steps);
        }
        self.feed_steps(steps);
        self.buffer.reserve(READ_BYTES);
        Ok(())
    }

    fn process_message(
        &mut self,
        message: Message,
        steps: &mut Vec<Step>,
    ) -> Result<(), Report<Failure>> {
        match (self.expected, message.kind) {
            (Expected::Cycle, kind) => {
                self.assembler.add(message, steps).change_context(Failure::Disorder)?;
                if kind == b'Z' {
                    self.expected = Expected::Nothing;
                }
                Ok(())
            }
            // asynchronous messages (notice, parameter status, notification), and the
            // messages around the row of a mark
            (Expected::Nothing | Expected::Mark(_), b'N' | b'S' | b'A')
            | (Expected::Mark(_), b'T' | b'C') => Ok(()),
            (Expected::Mark(None), b'D') => {
                let mark = answer::parse_mark(&message).ok_or(Failure::Disorder)?;
                self.expected = Expected::Mark(Some(mark));
                Ok(())
            }
            (Expected::Mark(Some(mark)), b'Z') => {
                self.expected = Expected::Nothing;
                self.shard.feed(Event::Marked { conn: self.conn, mark });
                Ok(())
            }
            _ => Err(Report::new(Failure::Disorder)),
        }
    }

    fn feed_steps(&self, steps: Vec<Step>) {
        let conn = self.conn;
        for step in steps {
            self.shard.feed(match step {
                Step::Piece(piece) => Event::Piece { conn, piece },
                Step::Ready { status, failed } => Event::Cycle { conn, status, failed },
            });
        }
    }
}

type Opened = (OwnedReadHalf, OwnedWriteHalf, BytesMut, Option<Bytes>);

async fn log_in(database: &Name, address: SocketAddr) -> Result<Opened, Report<Failure>> {
    let stream = TcpStream::connect(address).await.change_context(Failure::Io)?;
    stream.set_nodelay(true).change_context(Failure::Io)?;
    let (mut read, mut write) = stream.into_split();
    write.write_all(&startup(database.as_str())).await.change_context(Failure::Io)?;
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let mut cancel_key = None;
    loop {
        while let Some(message) =
            answer::next_message(&mut buffer).change_context(Failure::Login)?
        {
            match message.kind {
                b'R' if message.body() == [0; 4] => {}
                b'R' | b'E' => return Err(Report::new(Failure::Login)),
                b'K' => cancel_key = Some(Bytes::copy_from_slice(message.body())),
                b'Z' => return Ok((read, write, buffer, cancel_key)),
                _ => {}
            }
        }
        if read.read_buf(&mut buffer).await.change_context(Failure::Io)? == 0 {
            return Err(Report::new(Failure::Io));
        }
    }
}

fn startup(database: &str) -> Bytes {
    let pairs = [("user", USER), ("database", database), ("application_name", "trefoillink")];
    let mut body = BytesMut::new();
    body.put_u32(PROTOCOL_VERSION);
    for (key, value) in pairs {
        for text in [key, value] {
            body.put_slice(text.as_bytes());
            body.put_u8(0);
        }
    }
    body.put_u8(0);
    let mut bytes = BytesMut::with_capacity(body.len() + 4);
    bytes.put_u32(body.len() as u32 + 4);
    bytes.put_slice(&body);
    bytes.freeze()
}

fn query(text: &str) -> Bytes {
    let mut bytes = BytesMut::with_capacity(text.len() + 6);
    bytes.put_u8(b'Q');
    bytes.put_u32(text.len() as u32 + 5);
    bytes.put_slice(text.as_bytes());
    bytes.put_u8(0);
    bytes.freeze()
}
