//! What was sent, answered and run, in the order of its occurrence.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An event of the record.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client has sent a request to a gateway.
    Sent { id: String, gateway: usize, kind: &'static str },
    /// A client has begun to send a request on a channel of its own.
    SentTo { id: String, address: SocketAddr },
    /// A client has its final answer; `None` stands for a closed channel.
    Got { id: String, status: Option<u16>, note: String },
    /// A server has begun to work on a request.
    Began { id: String, server: String },
    /// A server has turned a request away as not run.
    Refused { id: String, server: String },
    /// A server has answered.
    Answered { id: String, server: String, status: u16 },
    /// A gateway has got SIGTERM.
    Terminated { address: SocketAddr },
    /// Anything else.
    Note { text: String },
}

#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Arc<Mutex<Vec<(u128, Event)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), events: Arc::default() }
    }

    pub fn add(&self, event: Event) {
        self.events.lock().unwrap().push((self.started.elapsed().as_millis(), event));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Event::Note { text: text.into() });
    }

    pub fn all(&self) -> Vec<(u128, Event)> {
        self.events.lock().unwrap().clone()
    }

    /// Writes the events, one a line, with milliseconds since the start, and the result.
    pub fn write(&self, path: &Path, result: &[String]) {
        let mut file = BufWriter::new(File::create(path).unwrap());
        for (at_ms, event) in self.all() {
            writeln!(file, "{at_ms:>7} {event:?}").unwrap();
        }
        for line in result {
            writeln!(file, "RESULT {line}").unwrap();
        }
    }

    /// Returns where each request began to run.
    pub fn runs(&self) -> BTreeMap<String, Vec<String>> {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (_, event) in self.all() {
            if let Event::Began { id, server } = event {
                runs.entry(id).or_default().push(server);
            }
        }
        runs
    }

    /// Returns the ids of requests of a kind.
    pub fn sent(&self, wanted: &str) -> BTreeSet<String> {
        let sent = self.all().into_iter().filter_map(|(_, event)| match event {
            Event::Sent { id, kind, .. } if kind == wanted => Some(id),
            _ => None,
        });
        sent.collect()
    }

    /// Returns the final statuses of requests; 0 for a closed channel.
    pub fn statuses(&self) -> BTreeMap<String, u16> {
        let got = self.all().into_iter().filter_map(|(_, event)| match event {
            Event::Got { id, status, .. } => Some((id, status.unwrap_or(0))),
            _ => None,
        });
        got.collect()
    }
}
