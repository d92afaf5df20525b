//! A fault-injecting proxy on the loopback interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::Failure;

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A direction of traffic, from the view of the process behind the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To the process.
    In,
    /// From the process.
    Out,
}

/// How a proxy handles connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    Pass,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Closes existing connections and resets new ones.
    Reset,
    /// Holds back the bytes of one direction until the mode changes.
    Hold(Direction),
    /// Holds back all bytes until the mode changes.
    Silence,
    /// Forwards nothing on existing connections, even after the mode changes; new
    /// connections are unaffected.
    Mute,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// Connections with a number below this one are muted for good.
    muted_below: u64,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<State>,
    count: Arc<AtomicU64>,
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    /// [`Failure::Start`] when no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self, Report<Failure>> {
        let listener = TcpListener::bind("127.0.0.1:0").await.change_context(Failure::Start)?;
        let address = listener.local_addr().change_context(Failure::Start)?;
        let (state, watched) = watch::channel(State { mode: Mode::Pass, muted_below: 0 });
        let count = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, watched, Arc::clone(&count)));
        Ok(Self { address, state, count, task: task.abort_handle() })
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of existing and new connections.
    pub fn set(&self, mode: Mode) {
        let muted_below = self.count.load(Ordering::Relaxed);
        self.state.send_modify(|state| {
            state.mode = mode;
            if mode == Mode::Mute {
                state.muted_below = muted_below;
            }
        });
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<State>,
    count: Arc<AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(serve(stream, target, number, state.clone()));
    }
}

async fn serve(
    downstream: TcpStream,
    target: SocketAddr,
    number: u64,
    state: watch::Receiver<State>,
) {
    let is_reset = |state: &watch::Receiver<State>| state.borrow().mode == Mode::Reset;
    if is_reset(&state) {
        return reset(&downstream);
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return reset(&downstream);
    };
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut watched = state.clone();
    tokio::select! {
        () = forward(downstream_read, upstream_write, Direction::In, number, state.clone()) => {}
        () = forward(upstream_read, downstream_write, Direction::Out, number, state) => {}
        _ = watched.wait_for(|state| state.mode == Mode::Reset) => {}
    }
}

/// Makes a connection end with a TCP reset when its stream is dropped.
fn reset(stream: &TcpStream) {
    // best effort: if the option cannot be set, the connection is closed normally
    drop(stream.set_zero_linger());
}

/// Forwards the bytes of one direction until either end closes.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    direction: Direction,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
        let is_forwarded = |state: &State| {
            let held = matches!(state.mode, Mode::Hold(held) if held == direction);
            number >= state.muted_below && !held && state.mode != Mode::Silence
        };
        let delay = match state.wait_for(is_forwarded).await.map(|state| state.mode) {
            Ok(Mode::Delay(delay)) => delay,
            Ok(_) => Duration::ZERO,
            Err(_closed) => return,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
