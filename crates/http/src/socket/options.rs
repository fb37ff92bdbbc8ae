use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Size of the receive buffer of a caller's socket, in bytes; the kernel allows twice as much.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Bounds what the kernel holds of the requests of each connection that the listener accepts.
///
/// Without a bound it grows to megabytes for a body that waits to be read.
///
/// # Errors
///
/// Returns an error if the kernel rejects the option.
pub fn bound_receive_buffers(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}

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
