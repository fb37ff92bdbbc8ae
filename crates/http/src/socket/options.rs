use std::io;
use std::net::TcpStream;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Sets the options that close a connection whose peer is unreachable, and `TCP_NODELAY`.
///
/// Without them the kernel retransmits for minutes. The user timeout covers unacknowledged bytes;
/// keep-alive probes cover a connection that waits for an answer.
///
/// # Errors
///
/// Returns an error if the kernel rejects an option.
pub fn set_tcp_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let interval = Duration::from_secs(1);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(2),
    )
}
