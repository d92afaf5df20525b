//! TCP socket options, set on links and on connections that use the plain protocol, the
//! alternative to the PostgreSQL protocol.

use std::io::{self, Read as _};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent data may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time after which keepalive probes begin.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Disables Nagle's algorithm, so that small messages are sent at once, and sets
/// the timeouts that close a connection whose peer is unreachable.
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

/// Reads what has arrived, whether the runtime has noticed it or not. Returns the number of
/// bytes; zero if there are none. A busy runtime may look for input again only after it has run
/// many other tasks.
pub fn read_now(stream: &TcpStream, buffer: &mut [u8]) -> usize {
    let socket = SockRef::from(stream);
    (&*socket).read(buffer).unwrap_or_default()
}
