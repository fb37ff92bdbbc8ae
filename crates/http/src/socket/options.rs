use std::io;
use std::net::TcpStream;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Ends a connection whose peer has not acknowledged anything for this long.
///
/// Guards against a peer that lost its power or a path that went silent: without it the kernel
/// sends again for minutes, and whoever waits on the socket waits as long. Unacknowledged bytes
/// end by the user timeout, an idle wait for an answer by keep-alive probes.
///
/// # Errors
///
/// An option that the kernel refuses.
pub fn set_silence_timeout(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(silence))?;
    let second = Duration::from_secs(1);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(second).with_interval(second).with_retries(2),
    )
}
