//! A loopback proxy that harms the connections that pass through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::Failure;

/// Bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// A direction, as the process behind the proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Towards it.
    In,
    /// From it.
    Out,
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// Bytes come late.
    Delay(Duration),
    /// Those that stand are reset, and so are new ones.
    Reset,
    /// Bytes of one direction wait.
    Hold(Direction),
    /// All bytes wait.
    Silence,
    /// Those that stand are silent for good; new ones pass.
    Mute,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// Connections with a lower number are silent for good.
    muted: u64,
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
    /// [`Failure::Start`].
    pub async fn start(target: SocketAddr) -> Result<Self, Report<Failure>> {
        let listener = TcpListener::bind("127.0.0.1:0").await.change_context(Failure::Start)?;
        let address = listener.local_addr().change_context(Failure::Start)?;
        let (state, watched) = watch::channel(State { mode: Mode::Pass, muted: 0 });
        let count = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, watched, Arc::clone(&count)));
        Ok(Self { address, state, count, task: task.abort_handle() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms connections from now on.
    pub fn set(&self, mode: Mode) {
        let muted = self.count.load(Ordering::Relaxed);
        self.state.send_modify(|state| {
            state.mode = mode;
            if mode == Mode::Mute {
                state.muted = muted;
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

async fn serve(near: TcpStream, target: SocketAddr, number: u64, state: watch::Receiver<State>) {
    let resets = |state: &watch::Receiver<State>| state.borrow().mode == Mode::Reset;
    if resets(&state) {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut watched = state.clone();
    tokio::select! {
        () = pump(near_read, far_write, Direction::In, number, state.clone()) => {}
        () = pump(far_read, near_write, Direction::Out, number, state) => {}
        _ = watched.wait_for(|state| state.mode == Mode::Reset) => {}
    }
}

/// Closes without a farewell.
fn reset(stream: &TcpStream) {
    // best effort: without it the connection is closed in the usual way
    drop(stream.set_zero_linger());
}

/// Passes bytes of one direction until either end closes.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    way: Direction,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let mut bytes = vec![0; CHUNK];
    loop {
        let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
        let passes = |state: &State| {
            let held = matches!(state.mode, Mode::Hold(held) if held == way);
            number >= state.muted && !held && state.mode != Mode::Silence
        };
        let delay = match state.wait_for(passes).await.map(|state| state.mode) {
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
