//! Requesters: each keeps a channel and sends one request after the other.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::record::{Event, Record};
use crate::server::{body_of, seal_of};
use crate::wire::read_message;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Time limit of a request, in milliseconds.
const BUDGET_MS: u64 = 1_500;

/// What all requesters share.
#[derive(Clone)]
pub struct Clients {
    pub record: Record,
    pub stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), stop: Arc::default(), next: Arc::default() }
    }

    /// Starts a requester of one gateway.
    pub fn start(
        &self,
        (gateway, address): (usize, SocketAddr),
        (kind, path): (&'static str, &'static str),
        pause: Duration,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            let mut channel = None;
            while !clients.stop.load(Ordering::Relaxed) {
                let number = clients.next.fetch_add(1, Ordering::Relaxed);
                let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                clients.record.add(Event::Sent { id: id.clone(), gateway, kind });
                let (status, note) = send(&mut channel, address, path, &id);
                if status == Some(503) || status.is_none() {
                    // Comes back after what `Retry-After` says, on a new channel.
                    thread::sleep(Duration::from_millis(200));
                }
                clients.record.add(Event::Got { id, status, note });
                thread::sleep(pause);
            }
        })
    }
}

type Channel = (TcpStream, Vec<u8>);

/// Sends a request; returns the status, or `None` if the channel has ended without a whole answer.
fn send(
    channel: &mut Option<Channel>,
    address: SocketAddr,
    path: &str,
    id: &str,
) -> (Option<u16>, String) {
    let (mut stream, mut buffer) = match channel.take() {
        Some(kept) => kept,
        None => match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => {
                stream.set_nodelay(true).ok();
                stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS + 2_000))).ok();
                (stream, Vec::new())
            }
            Err(error) => return (None, format!("no channel: {error}")),
        },
    };
    let body = format!("update of {id}");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Celeryhaven-Attempt-Id: {id}\r\n\
         X-Celeryhaven-Time-Budget-Ms: {BUDGET_MS}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return (None, "channel closed before the request was sent".to_owned());
    }
    let Some(answer) = read_message(&mut stream, &mut buffer) else {
        return (None, "channel closed without an answer".to_owned());
    };
    let status = answer.status();
    let mut note = String::new();
    if status == 200 {
        let is_sealed = answer.header("x-celeryhaven-response-seal") == Some(&seal_of(id));
        if !is_sealed || answer.body != body_of(id).as_bytes() || !answer.is_whole {
            note = "MIXED: not the server's whole answer to this request".to_owned();
        }
    }
    if !answer.closes() && answer.is_whole && status == 200 {
        *channel = Some((stream, buffer));
    }
    (Some(status), note)
}
