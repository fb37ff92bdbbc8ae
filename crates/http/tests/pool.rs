//! Connections to hosts that lose packets.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use celeryhaven_http::{ConnectionPool, PoolSettings};
use smol::{LocalExecutor, Timer};
use socket2::{Domain, SockRef, Socket, Type};

/// Connections that fill the queue of a listener whose backlog is zero.
const QUEUE_FILL: usize = 2;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns a listener whose queue is full, so that packets which open connections are lost.
fn full_listener() -> (TcpListener, SocketAddr, Vec<Socket>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a local address");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    SockRef::from(&listener).listen(0).expect("a smaller backlog");
    let fill = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("a non-blocking socket");
        // It is under way.
        socket.connect(&address.into()).unwrap_or_default();
        socket
    };
    let fill = (0..QUEUE_FILL).map(|_| fill()).collect();
    (listener, address, fill)
}

/// One lost packet must not make a reachable host look gone.
#[test]
fn connect_twice_first_packet_lost() {
    let (listener, address, _fill) = full_listener();
    let executor = Rc::new(LocalExecutor::new());
    let settings = PoolSettings {
        connect_timeout: CONNECT_TIMEOUT,
        tcp_user_timeout: CONNECT_TIMEOUT,
        idle_timeout: CONNECT_TIMEOUT,
        idle_max: 1,
    };
    let pool = ConnectionPool::new(executor.clone(), settings);
    let free_queue = async {
        Timer::after(Duration::from_millis(100)).await;
        SockRef::from(&listener).listen(8).expect("a larger backlog");
        while listener.accept().is_ok() {}
    };
    let connect = pool.connect_twice(address, Duration::from_millis(200));
    let both = executor.run(smol::future::zip(connect, free_queue));
    let (connected, ()) = smol::block_on(both);
    assert!(connected.is_ok(), "{:?}", connected.err());
}
