//! Options of sockets that every connection of the system sets.

use std::io;

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which sent bytes that were not confirmed break a connection.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without traffic after which the other end is asked whether it lives.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions without an answer that break a connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// Sends small messages at once, and breaks a connection whose other end is
/// silent.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
