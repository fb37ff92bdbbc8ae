use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::{io, mem};

use smol::Task;
use smol::net::{TcpListener, TcpStream};
use trillium_http::{Conn, HttpContext};

use crate::http::{Answer, Request, Serve};

type Connections = Arc<Mutex<Vec<Task<()>>>>;

/// A listening HTTP server. Dropping it drops all its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accepting: Task<()>,
    connections: Connections,
}

impl Server {
    /// Binds an address and starts to accept connections. Port 0 selects a free port.
    pub async fn bind<S: Serve>(address: SocketAddr, service: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = Connections::default();
        let accepting = smol::spawn(accept(listener, service, connections.clone()));
        Ok(Self { address, accepting, connections })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections, and waits until that is complete.
    pub async fn cut(self) {
        self.accepting.cancel().await;
        let tasks = lock(&self.connections).drain(..).collect::<Vec<_>>();
        for task in tasks {
            task.cancel().await;
        }
    }
}

async fn accept<S: Serve>(listener: TcpListener, service: Arc<S>, connections: Connections) {
    let context = Arc::new(HttpContext::new());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let task = smol::spawn(serve_connection(context.clone(), stream, service.clone()));
        let mut running = lock(&connections);
        let unfinished = mem::take(&mut *running).into_iter().filter(|task| !task.is_finished());
        *running = unfinished.chain([task]).collect();
    }
}

/// Serves a connection until the peer closes it or the answer is [`Answer::Close`].
async fn serve_connection<S: Serve>(context: Arc<HttpContext>, stream: TcpStream, service: Arc<S>) {
    let (close, closed) = async_channel::bounded::<()>(1);
    let handler = |conn| handle(conn, service.clone(), close.clone());
    let serving = async {
        let _ = context.run(stream, handler).await;
    };
    let closing = async {
        let _ = closed.recv().await;
    };
    smol::future::or(closing, serving).await;
}

async fn handle<S: Serve>(
    mut conn: Conn<TcpStream>,
    service: Arc<S>,
    close: async_channel::Sender<()>,
) -> Conn<TcpStream> {
    let answer = match Request::read(&mut conn).await {
        // Cancels the handler when the caller disconnects, as engines do.
        Some(request) => {
            conn.cancel_on_disconnect(service.serve(request)).await.unwrap_or(Answer::Close)
        }
        None => Answer::Close,
    };
    let Answer::Reply { status, headers, body } = answer else {
        let _ = close.try_send(());
        return smol::future::pending().await;
    };
    conn.set_status(status);
    for (name, value) in headers {
        conn.response_headers_mut().insert(name, value);
    }
    conn.set_response_body(body);
    conn
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
