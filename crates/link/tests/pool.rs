//! Reuse, backoff and replacement of pooled links.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryhaven_link::{Link, LinkEndpoint, LinkError, LinkLimits, LinkPool, Role};
use celeryhaven_types::TimeMs;
use smol::future::FutureExt;

use common::{Authority, client, loopback, server};

#[test]
fn pool_reuses_link() {
    smol::block_on(async {
        let authority = Authority::new();
        let listening = server(&authority.node("entry-1"), Role::Node, LinkLimits::default());
        let address = listening.local_address().unwrap();
        let pool = LinkPool::new(client(&authority.node("entry-2"), LinkLimits::default()));
        let accepted = async {
            let incoming = listening.accept().await.unwrap();
            listening.handshake(incoming).await.unwrap()
        };
        let sent = pool.send_bytes(TimeMs::new(0), address, b"one");
        let (link, sent) = smol::future::zip(accepted, sent).await;
        sent.unwrap();
        pool.send_bytes(TimeMs::new(1), address, b"two").await.unwrap();
        assert_eq!(link.receive_bytes().await.unwrap(), b"one");
        assert_eq!(link.receive_bytes().await.unwrap(), b"two");
        assert_eq!(listening.open_links(), 1);
    });
}

#[test]
fn pool_backs_off() {
    smol::block_on(async {
        let closed = UdpSocket::bind(loopback()).unwrap();
        let limits = LinkLimits { handshake_ms: 50, ..LinkLimits::default() };
        let pool = LinkPool::new(client(&Authority::new().node("entry-2"), limits));
        let address = closed.local_addr().unwrap();
        let first = pool.link(TimeMs::new(0), address).await.unwrap_err();
        assert!(matches!(first, LinkError::TimedOut { .. }), "{first}");
        let second = pool.link(TimeMs::new(30), address).await.unwrap_err();
        assert!(matches!(second, LinkError::BackingOff { retry_ms: 70, .. }), "{second}");
        let third = pool.link(TimeMs::new(100), address).await.unwrap_err();
        assert!(matches!(third, LinkError::TimedOut { .. }), "{third}");
    });
}

/// Messages to a node that was replaced at the same address were lost until the idle timeout of the
/// old link.
#[test]
fn pool_replaced_at_same_address() {
    smol::block_on(async {
        let authority = Authority::new();
        let node = authority.node("entry-1");
        let (old, new) = [(); 2].map(|()| server(&node, Role::Node, LinkLimits::default())).into();
        let proxy = UdpProxy::start(old.local_address().unwrap());
        let pool = LinkPool::new(client(&authority.node("entry-2"), LinkLimits::default()));
        let dialled = pool.link(TimeMs::new(0), proxy.address);
        let (_at_old, old_link) = smol::future::zip(accept(&old), dialled).await;
        let old_link = old_link.unwrap();
        proxy.set_target(new.local_address().unwrap());
        pool.send_bytes(TimeMs::new(10), proxy.address, b"lost").await.unwrap();
        pool.send_bytes(TimeMs::new(1_000), proxy.address, b"lost").await.unwrap();
        assert!(old_link.is_open());
        let sent = pool.send_bytes(TimeMs::new(5_000), proxy.address, b"found");
        let (at_new, sent) = smol::future::zip(accept(&new), sent).await;
        sent.unwrap();
        assert_eq!(at_new.receive_bytes().await.unwrap(), b"found");
        assert!(!old_link.is_open());
    });
}

async fn accept(endpoint: &LinkEndpoint) -> Link {
    let accepted = async {
        let incoming = endpoint.accept().await.unwrap();
        endpoint.handshake(incoming).await.unwrap()
    };
    let limit = async {
        smol::Timer::after(Duration::from_secs(20)).await;
        panic!("no incoming connection within 20 s")
    };
    accepted.or(limit).await
}

/// UDP proxy that forwards the packets of one address to a configurable target.
struct UdpProxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
}

impl UdpProxy {
    fn start(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind(loopback()).unwrap());
        let back = Arc::new(UdpSocket::bind(loopback()).unwrap());
        let address = front.local_addr().unwrap();
        let target = Arc::new(Mutex::new(target));
        let proxy = Self { address, target: target.clone() };
        let client_address = Arc::new(Mutex::new(address));
        let (front_2, back_2) = (front.clone(), back.clone());
        let (target_2, client_address_2) = (target.clone(), client_address.clone());
        std::thread::spawn(move || {
            let mut packet = [0; 2_048];
            while let Ok((size, from)) = front.recv_from(&mut packet) {
                *client_address.lock().unwrap() = from;
                let to = *target.lock().unwrap();
                let _ = back.send_to(&packet[..size], to);
            }
        });
        std::thread::spawn(move || {
            let mut packet = [0; 2_048];
            while let Ok((size, from)) = back_2.recv_from(&mut packet) {
                if from == *target_2.lock().unwrap() {
                    let to = *client_address_2.lock().unwrap();
                    let _ = front_2.send_to(&packet[..size], to);
                }
            }
        });
        proxy
    }

    fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }
}
