//! Requesters: each keeps a channel and sends one request after the other.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::gateway::get;
use crate::record::{Event, Record};
use crate::server::{EVENTS, body_of, event_of, seal_of};
use crate::wire::read_message;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Time limit of a request, in milliseconds.
const BUDGET_MS: u64 = 1_500;

/// Time limit of a request for a stream, in milliseconds.
const STREAM_BUDGET_MS: u64 = 8_000;

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

/// What a requester knows of the directory's answer.
struct Directory {
    lookups: Vec<SocketAddr>,
    /// How long an answer is kept.
    kept: Duration,
    addresses: Vec<SocketAddr>,
    read_at: Option<Instant>,
    next: usize,
}

impl Directory {
    /// Returns an address, of a new answer if the last one is too old and there is one.
    fn address(&mut self) -> Option<SocketAddr> {
        if self.read_at.is_none_or(|at| at.elapsed() >= self.kept) {
            for _ in 0..self.lookups.len() {
                self.next += 1;
                let lookup = self.lookups[self.next % self.lookups.len()];
                let path = format!("/api/lookup?name={HOST}&region=riga&zone=riga-a");
                let answer = get(lookup, &path).filter(|answer| answer.status() == 200);
                let Some(answer) = answer else { continue };
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let listed = body.split(['[', ']']).nth(1).unwrap_or_default().replace('"', "");
                let listed: Vec<_> =
                    listed.split(',').filter_map(|text| text.trim().parse().ok()).collect();
                if !listed.is_empty() {
                    (self.addresses, self.read_at) = (listed, Some(Instant::now()));
                    break;
                }
            }
        }
        self.next = self.next.wrapping_mul(31).wrapping_add(17);
        let count = self.addresses.len();
        (count > 0).then(|| self.addresses[self.next / 7 % count])
    }
}

impl Clients {
    /// Starts a requester of streams, which asks the directory where to connect and opens a channel for
    /// each request.
    pub fn start_stream(
        &self,
        lookups: Vec<SocketAddr>,
        kept: Duration,
        number: usize,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        let task = move || {
            let next = number.wrapping_mul(7_919);
            let mut directory =
                Directory { lookups, kept, addresses: Vec::new(), read_at: None, next };
            // Requesters don't begin all at once.
            thread::sleep(Duration::from_millis((number as u64 * 37) % 5_000));
            while !clients.stop.load(Ordering::Relaxed) {
                let Some(address) = directory.address() else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let number = clients.next.fetch_add(1, Ordering::Relaxed);
                let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let (status, note) = stream(&clients.record, address, &id);
                let is_whole = status == Some(200) && note.is_empty();
                clients.record.add(Event::Got { id, status, note });
                if !is_whole {
                    directory.addresses.retain(|known| *known != address);
                    thread::sleep(Duration::from_millis(200));
                }
            }
        };
        thread::Builder::new().stack_size(256 * 1024).spawn(task).unwrap()
    }
}

/// Sends a request for a stream on a new channel and reads the answer.
fn stream(record: &Record, address: SocketAddr, id: &str) -> (Option<u16>, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (None, "no channel".to_owned());
    };
    stream.set_read_timeout(Some(Duration::from_millis(STREAM_BUDGET_MS + 1_000))).ok();
    let request = format!(
        "GET /stream/a HTTP/1.1\r\nHost: {HOST}\r\nX-Celeryhaven-Attempt-Id: {id}\r\n\
         X-Celeryhaven-Time-Budget-Ms: {STREAM_BUDGET_MS}\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    record.add(Event::SentTo { id: id.to_owned(), address });
    if stream.write_all(request.as_bytes()).is_err() {
        return (None, "channel closed before the request was sent".to_owned());
    }
    let Some(answer) = read_message(&mut stream, &mut Vec::new()) else {
        return (None, "channel closed without an answer".to_owned());
    };
    let status = answer.status();
    let whole: String = (1..=EVENTS).map(|number| event_of(id, number)).collect();
    let note = match () {
        () if status != 200 => String::new(),
        () if !answer.is_whole => {
            format!("channel closed in the answer, after {} bytes", answer.body.len())
        }
        () if answer.body != whole.as_bytes() => "MIXED: not the server's whole answer".to_owned(),
        () => String::new(),
    };
    (Some(status), note)
}

impl Clients {
    /// Starts a requester that keeps its channel to a gateway and sends long prompts once `large` is set.
    pub fn start_prompts(
        &self,
        (gateway, address): (usize, SocketAddr),
        (large, prompt): (Arc<AtomicBool>, Arc<Vec<u8>>),
        number: usize,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        let task = move || {
            let mut channel = None;
            thread::sleep(Duration::from_millis((number as u64 * 41) % 3_000));
            while !clients.stop.load(Ordering::Relaxed) {
                let number = clients.next.fetch_add(1, Ordering::Relaxed);
                let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let body = if large.load(Ordering::Relaxed) {
                    &prompt[..]
                } else {
                    &prompt[..SHORT_BYTES]
                };
                let kind = if channel.is_some() { "on a kept channel" } else { "on a new channel" };
                clients.record.add(Event::Sent { id: id.clone(), gateway, kind });
                let (status, note) = send_prompt(&mut channel, address, &id, body);
                let is_whole = status == Some(200) && note.is_empty();
                clients.record.add(Event::Got { id, status, note });
                thread::sleep(Duration::from_millis(if is_whole { 200 } else { 1_000 }));
            }
        };
        thread::Builder::new().stack_size(256 * 1024).spawn(task).unwrap()
    }
}

/// Bytes of a short prompt.
const SHORT_BYTES: usize = 4_000;

/// Sends a request for a stream with a body, and reads the answer.
fn send_prompt(
    channel: &mut Option<Channel>,
    address: SocketAddr,
    id: &str,
    body: &[u8],
) -> (Option<u16>, String) {
    let (mut stream, mut buffer) = match channel.take() {
        Some(kept) => kept,
        None => match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => {
                stream.set_nodelay(true).ok();
                stream.set_read_timeout(Some(Duration::from_millis(STREAM_BUDGET_MS + 1_000))).ok();
                stream.set_write_timeout(Some(Duration::from_millis(STREAM_BUDGET_MS))).ok();
                (stream, Vec::new())
            }
            Err(_) => return (None, "no channel".to_owned()),
        },
    };
    let head = format!(
        "POST /stream/a HTTP/1.1\r\nHost: {HOST}\r\nX-Celeryhaven-Attempt-Id: {id}\r\n\
         X-Celeryhaven-Time-Budget-Ms: {STREAM_BUDGET_MS}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_err() {
        return (None, "channel closed before the request was sent".to_owned());
    }
    let Some(answer) = read_message(&mut stream, &mut buffer) else {
        return (None, "channel closed without an answer".to_owned());
    };
    let status = answer.status();
    if status == 200 && !answer.is_whole {
        return (Some(200), "channel closed in the answer".to_owned());
    }
    if !answer.closes() {
        *channel = Some((stream, buffer));
    }
    (Some(status), String::new())
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
