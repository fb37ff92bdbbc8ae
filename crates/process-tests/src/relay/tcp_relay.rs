use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use smol::Task;
use smol::net::{TcpListener, TcpStream};

type Links = Arc<Mutex<Vec<Task<()>>>>;

/// Passes connections on to another address until it is cut.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    target: SocketAddr,
    links: Links,
    accepting: Option<Task<()>>,
}

impl Relay {
    /// Listens on an address and passes everything on to the target.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let mut relay = Self { address, target, links: Links::default(), accepting: None };
        relay.join().await?;
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts every connection and takes no more.
    pub async fn cut(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner).drain(..).collect();
        let links: Vec<Task<()>> = links;
        for link in links {
            link.cancel().await;
        }
    }

    /// Takes connections again after a cut.
    pub async fn join(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.address = listener.local_addr()?;
        self.accepting = Some(smol::spawn(accept(listener, self.target, self.links.clone())));
        Ok(())
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, links: Links) {
    while let Ok((near, _)) = listener.accept().await {
        let link = smol::spawn(pass(near, target));
        links.lock().unwrap_or_else(PoisonError::into_inner).push(link);
    }
}

async fn pass(near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let to = smol::io::copy(near.clone(), far.clone());
    let back = smol::io::copy(far, near);
    // One end closed means both are: a caller that hangs up must reach the far end.
    let _ = smol::future::or(to, back).await;
}
