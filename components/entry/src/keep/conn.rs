//! One connection to a backend server.
//!
//! Its task opens it, writes what the group sends, and turns what comes back
//! into events. It ends with [`Event::Closed`], once the socket is closed.

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

/// User that statements run as.
const USER: &str = "trefoil";

/// Longest time for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that a server may take to end a closed connection.
const LINGER: Duration = Duration::from_secs(10);

/// Commands that may wait for a connection's task.
pub(super) const COMMAND_QUEUE: usize = 16;

/// Bytes that a connection reads at once.
const READ_BYTES: usize = 32 << 10;

const PROTOCOL: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const TERMINATE: &[u8] = &[b'X', 0, 0, 0, 4];
const MARK_QUERY: &str = "SELECT * FROM trefoil_mark()";

/// What a group asks of a connection.
#[derive(Debug)]
pub(super) enum Command {
    Send { bytes: Bytes, wait: Option<Mark> },
    RollBack,
    Mark,
    Cancel,
    Close,
}

/// The group's end of a connection.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) paused: watch::Sender<bool>,
    pub(super) task: tokio::task::AbortHandle,
}

impl Control {
    /// Passes a command on; a connection that takes none is ended.
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

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
enum Failure {
    /// The socket failed or was closed by the server.
    Io,
    /// It took too long.
    Timeout,
    /// The server refused the login, or asked for a password.
    Login,
    /// An answer came that was not due.
    Disorder,
}

impl std::error::Error for Failure {}

/// Tells the group that a connection is closed, however its task ended.
pub(super) struct CloseGuard {
    pub(super) shard: Arc<Shard>,
    pub(super) conn: Key<Connection>,
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.shard.forget(self.conn);
        self.shard.feed(Event::Closed { conn: self.conn });
    }
}

/// Starts a connection's task.
pub(super) fn open(shard: &Arc<Shard>, conn: Key<Connection>, address: SocketAddr) -> Control {
    let (commands, taken) = mpsc::channel(COMMAND_QUEUE);
    let (paused, watched) = watch::channel(false);
    let shard = Arc::clone(shard);
    let task = tokio::spawn(async move {
        // held by the task, so that it is dropped also when the task is aborted
        let guard = CloseGuard { shard, conn };
        let ran = run(&guard.shard, conn, address, taken, watched).await;
        if let Err(report) = ran {
            slog::debug!(guard.shard.log(), "connection ended"; "error" => format!("{report:?}"));
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
    let (read, write, buffer, cancel) = opened.change_context(Failure::Timeout)??;
    let (bytes, written) = mpsc::channel(COMMAND_QUEUE);
    let writer = tokio::spawn(write_all(write, written));
    shard.feed(Event::Opened { conn });
    let mut session = Session {
        shard: Arc::clone(shard),
        conn,
        address,
        cancel,
        read,
        buffer,
        bytes,
        due: Due::Nothing,
        assembler: Assembler::default(),
    };
    let ended = session.serve(commands, paused).await;
    if ended.is_ok() {
        session.leave().await;
    }
    // the socket is closed when both of its halves are
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

/// What is due from the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Due {
    Nothing,
    Cycle,
    Mark(Option<Mark>),
}

struct Session {
    shard: Arc<Shard>,
    conn: Key<Connection>,
    address: SocketAddr,
    cancel: Option<Bytes>,
    read: OwnedReadHalf,
    buffer: BytesMut,
    bytes: mpsc::Sender<Bytes>,
    due: Due,
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
                    Some(command) => self.obey(command)?,
                },
                _ = paused.changed() => {}
                read = self.read.read_buf(&mut self.buffer), if reads => {
                    if read.change_context(Failure::Io)? == 0 {
                        return Err(Report::new(Failure::Io));
                    }
                    self.digest()?;
                }
            }
        }
    }

    /// Ends the session and waits until the server has closed it: a statement
    /// that still runs holds its slot and connection there until then.
    async fn leave(&mut self) {
        if self.due == Due::Cycle {
            self.cancel();
        }
        drop(self.bytes.try_send(Bytes::from_static(TERMINATE)));
        // the writer ends with its last sender and shuts its half down
        (self.bytes, _) = mpsc::channel(1);
        let drained = async {
            let mut scrap = BytesMut::with_capacity(READ_BYTES);
            while self.read.read_buf(&mut scrap).await.is_ok_and(|read| read > 0) {
                scrap.clear();
            }
        };
        drop(tokio::time::timeout(LINGER, drained).await);
    }

    fn obey(&mut self, command: Command) -> Result<(), Report<Failure>> {
        let bytes = match command {
            Command::Send { bytes, .. } => {
                self.due = Due::Cycle;
                bytes
            }
            Command::RollBack => {
                self.due = Due::Cycle;
                query("ROLLBACK")
            }
            Command::Mark => {
                self.due = Due::Mark(None);
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
        let Some(body) = self.cancel.clone() else {
            return;
        };
        let address = self.address;
        tokio::spawn(async move {
            let mut bytes = BytesMut::with_capacity(16);
            bytes.put_u32(16);
            bytes.put_u32(CANCEL);
            bytes.put_slice(&body);
            if let Ok(mut stream) = TcpStream::connect(address).await {
                drop(stream.write_all(&bytes).await);
            }
        });
    }

    /// Takes in all whole messages that have come.
    fn digest(&mut self) -> Result<(), Report<Failure>> {
        let mut steps = Vec::new();
        while let Some(message) =
            answer::take(&mut self.buffer).change_context(Failure::Disorder)?
        {
            self.step(message, &mut steps)?;
        }
        if self.due == Due::Cycle {
            self.assembler.flush(&mut steps);
        }
        self.pass(steps);
        self.buffer.reserve(READ_BYTES);
        Ok(())
    }

    fn step(&mut self, message: Message, steps: &mut Vec<Step>) -> Result<(), Report<Failure>> {
        match (self.due, message.kind) {
            (Due::Cycle, kind) => {
                self.assembler.add(message, steps).change_context(Failure::Disorder)?;
                if kind == b'Z' {
                    self.due = Due::Nothing;
                }
                Ok(())
            }
            // news that no statement asked for, and the frame of a mark's row
            (Due::Nothing | Due::Mark(_), b'N' | b'S' | b'A') | (Due::Mark(_), b'T' | b'C') => {
                Ok(())
            }
            (Due::Mark(None), b'D') => {
                let mark = answer::mark(&message).ok_or(Failure::Disorder)?;
                self.due = Due::Mark(Some(mark));
                Ok(())
            }
            (Due::Mark(Some(mark)), b'Z') => {
                self.due = Due::Nothing;
                self.shard.feed(Event::Marked { conn: self.conn, mark });
                Ok(())
            }
            _ => Err(Report::new(Failure::Disorder)),
        }
    }

    fn pass(&self, steps: Vec<Step>) {
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
    let mut cancel = None;
    loop {
        while let Some(message) = answer::take(&mut buffer).change_context(Failure::Login)? {
            match message.kind {
                b'R' if message.body() == [0; 4] => {}
                b'R' | b'E' => return Err(Report::new(Failure::Login)),
                b'K' => cancel = Some(Bytes::copy_from_slice(message.body())),
                b'Z' => return Ok((read, write, buffer, cancel)),
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
    body.put_u32(PROTOCOL);
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
