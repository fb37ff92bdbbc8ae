//! Stand-ins for the cases of the second review: the platform's store, servers, requesters, and what
//! starts the project's own program. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- a minimal reader of JSON objects -------------------------------------------------------------

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], mut at: usize) -> usize {
    at += 1;
    while at < text.len() && text[at] != b'"' {
        at += if text[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

fn skip_value(text: &[u8], at: usize) -> usize {
    let mut at = skip_space(text, at);
    match text.get(at) {
        Some(b'"') => skip_string(text, at),
        Some(b'{' | b'[') => {
            let mut depth = 0;
            while at < text.len() {
                match text[at] {
                    b'"' => {
                        at = skip_string(text, at);
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    break;
                }
            }
            at
        }
        _ => {
            while at < text.len() && !matches!(text[at], b',' | b'}' | b']') {
                at += 1;
            }
            at
        }
    }
}

/// Returns the text of a member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, 0);
    if text.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(text, at);
        if text.get(at) != Some(&b'"') {
            return None;
        }
        let end = skip_string(text, at);
        let key = &object[at + 1..end - 1];
        let start = skip_space(text, skip_space(text, end) + 1);
        let stop = skip_value(text, start);
        if key == name {
            return Some(object[start..stop].trim());
        }
        at = skip_space(text, stop);
        if text.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

pub fn text_of(value: &str) -> String {
    value.trim_matches('"').to_owned()
}

// ---- HTTP/1.1 -----------------------------------------------------------------------------------

/// The head of a message, its first line and its fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A channel with what has been read ahead.
pub struct Channel {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` if the channel has ended before its first byte.
    pub fn head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|end| end == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(a, b)| (a.trim().to_owned(), b.trim().to_owned()));
                return Ok(Some(Head { first, fields: fields.collect() }));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|end| end == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body to its end.
    pub fn body(&mut self, head: &Head) -> std::io::Result<Vec<u8>> {
        if let Some(length) = head.field("content-length").and_then(|text| text.parse().ok()) {
            return self.exactly(length);
        }
        if head.field("transfer-encoding").is_none() {
            return Ok(Vec::new());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let piece = self.exactly(size)?;
            body.extend_from_slice(&piece);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

pub fn answer(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len())
}

/// Listens on a free loopback port, and serves each channel on a thread of its own.
pub fn listen(serve: impl Fn(Channel) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Channel::new(stream)));
        }
    });
    address
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

// ---- the platform's store -------------------------------------------------------------------------

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<(String, String), Object>,
    /// Revision, kind, name and content of each change; no content if it was removed.
    changes: Vec<(u64, String, String, Option<Object>)>,
}

/// The platform's store, as the pages describe it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<Objects>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

const JSON: &str = "content-type: application/json\r\n";

impl Store {
    pub fn start(&self) -> SocketAddr {
        let store = self.clone();
        listen(move |mut channel| {
            while let Ok(Some(head)) = channel.head() {
                let Ok(body) = channel.body(&head) else { return };
                let (status, body) = store.call(&head, &String::from_utf8_lossy(&body));
                if channel.write(&answer(status, JSON, &body)).is_err() {
                    return;
                }
            }
        })
    }

    /// Writes an object, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.state.0.lock().expect("the state");
        self.write(&mut objects, kind, name, Some((spec.to_owned(), "null".to_owned())));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.state.0.lock().expect("the state");
        self.write(&mut objects, kind, name, None);
    }

    fn write(
        &self,
        objects: &mut Objects,
        kind: &str,
        name: &str,
        content: Option<(String, String)>,
    ) -> Option<Object> {
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = objects.by_name.get(&key).map_or(revision, |object| object.created);
        let object = content.map(|(spec, status)| Object { revision, created, spec, status });
        match &object {
            Some(object) => objects.by_name.insert(key.clone(), object.clone()),
            None => objects.by_name.remove(&key),
        };
        objects.changes.push((revision, key.0, key.1, object.clone()));
        self.state.1.notify_all();
        object
    }

    fn call(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let argument = |name: &str| {
            query.split('&').filter_map(|part| part.split_once('=')).find(|(key, _)| *key == name)
        };
        let number = |name: &str| argument(name).and_then(|(_, value)| value.parse::<u64>().ok());
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let mut parts = rest.splitn(3, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let (name, is_status) = (parts.next().map(str::to_owned), parts.next() == Some("status"));
        let metadata = member(body, "metadata").unwrap_or("{}");
        let revision = number("revision")
            .or_else(|| member(metadata, "revision").and_then(|text| text.parse().ok()));
        let part = |name: &str| member(body, name).unwrap_or("null").to_owned();
        let mut objects = self.state.0.lock().expect("the state");
        match (head.method(), name) {
            ("GET", None) => match number("watch") {
                Some(from) => {
                    let until = Instant::now()
                        + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                    loop {
                        let events = objects
                            .changes
                            .iter()
                            .filter(|(at, of, _, _)| *at > from && *of == kind);
                        let events: Vec<String> = events
                            .map(|(at, _, name, object)| {
                                let gone = Object {
                                    revision: *at,
                                    created: 0,
                                    spec: "null".into(),
                                    status: "null".into(),
                                };
                                let text = object_text(name, object.as_ref().unwrap_or(&gone));
                                let deleted = object.is_none();
                                format!("{{\"deleted\":{deleted},\"object\":{text}}}")
                            })
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let as_of = objects.revision;
                            let events = events.join(",");
                            let body = format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
                            return ("200 OK", body);
                        }
                        objects = self.state.1.wait_timeout(objects, left).expect("the state").0;
                    }
                }
                None => {
                    let items = objects.by_name.iter().filter(|((of, _), _)| *of == kind);
                    let items: Vec<String> =
                        items.map(|((_, name), object)| object_text(name, object)).collect();
                    let (items, as_of) = (items.join(","), objects.revision);
                    let body =
                        format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}");
                    ("200 OK", body)
                }
            },
            ("GET", Some(name)) => match objects.by_name.get(&(kind, name.clone())) {
                Some(object) => ("200 OK", object_text(&name, object)),
                None => ("404 Not Found", "{}".into()),
            },
            ("POST", None) => {
                let name = text_of(member(metadata, "name").unwrap_or_default());
                if let Some(object) = objects.by_name.get(&(kind.clone(), name.clone())) {
                    return ("409 Conflict", object_text(&name, object));
                }
                let content = Some((part("spec"), part("status")));
                let object = self.write(&mut objects, &kind, &name, content).expect("an object");
                ("200 OK", object_text(&name, &object))
            }
            ("PUT" | "DELETE", Some(name)) => {
                let known = objects.by_name.get(&(kind.clone(), name.clone())).cloned();
                let Some(known) = known else { return ("404 Not Found", "{}".into()) };
                if revision.is_some_and(|revision| revision != known.revision) {
                    return ("409 Conflict", object_text(&name, &known));
                }
                let content = match (head.method(), is_status) {
                    ("DELETE", _) => None,
                    (_, true) => Some((known.spec.clone(), part("status"))),
                    (_, false) => Some((part("spec"), known.status.clone())),
                };
                if content.as_ref() == Some(&(known.spec.clone(), known.status.clone())) {
                    return ("200 OK", object_text(&name, &known));
                }
                let object = self.write(&mut objects, &kind, &name, content);
                ("200 OK", object_text(&name, object.as_ref().unwrap_or(&known)))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

// ---- the project's own program --------------------------------------------------------------------

/// A machine of the system: one process, started as the deploy file says.
pub struct Machine {
    pub process: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
}

impl Machine {
    /// Starts it with settings that are filled in like the template of the deploy file.
    pub fn start(root: &str, folder: &PathBuf, name: &str, store: SocketAddr) -> Self {
        let [callers, readiness, directory, peers, metrics] =
            std::array::from_fn(|_| free_address());
        let settings = format!(
            "node: \"{name}\"\ndata_centre: \"zone-a\"\ncaller_listen: \"{callers}\"\n\
             ready_listen: \"{readiness}\"\nlookup_listen: \"{directory}\"\n\
             peer_listen: \"{peers}\"\nmetrics_listen: \"{metrics}\"\nstore: \"{store}\"\n\
             address_ttl_ms: 2000\nstore_timeout_ms: 600\nwatch_wait_ms: 2000\nstop_s: 8\n\
             retry_ratio: 0.2\nretry_extra: 107\nload_window_s: 5\nconfig_apply_ms: 2000\n\
             cores: 0.25\nmemory_mb: 260\nlog_level: info\n"
        );
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings).expect("the settings");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log");
        let process = Command::new(format!("{root}/target/release/celeryhaven-platform"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        Self { process, callers, readiness, directory, metrics }
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if get(self.readiness, "/api/readiness", Duration::from_secs(1)) == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        Command::new("kill").arg(signal).arg(id).status().ok();
    }

    pub fn end(mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
    }
}

/// Returns the status of the answer to a GET; 0 if there is none in time.
pub fn get(address: SocketAddr, path: &str, time: Duration) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_read_timeout(Some(time))?;
        let mut channel = Channel::new(stream);
        channel.write(&format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"))?;
        Ok(channel.head()?.map_or(0, |head| head.status()))
    };
    exchange().unwrap_or(0)
}

// ---- what was sent, answered and run ---------------------------------------------------------------

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    began: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self { lines: Arc::default(), began: Instant::now() }
    }

    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.ms(), line.as_ref());
        self.lines.lock().expect("the record").push(line);
    }

    pub fn write(&self, file: &str) {
        let text = self.lines.lock().expect("the record").join("\n") + "\n";
        fs::write(file, text).expect("the record's file");
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the time").as_millis()
}

/// The configuration: one host, a route of each kind for a plain service, and one key.
pub fn config(version: u64, timeout_ms: u64, max_attempts: u32) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":300,\"priority\":2,\
             \"service\":\"portal\",\"max_attempts\":{max_attempts},\"anonymous\":false,\
             \"sticky\":false}}"
        )
    };
    let routes = [route("safe", "idempotent"), route("once", "non_idempotent")].join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"portal\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t\",\
         \"api_keys\":[\"k\"],\"priority\":1}}]}}"
    )
}

/// The entry of a server of the plain service.
pub fn entry(address: SocketAddr, sequence: u64) -> String {
    format!(
        "{{\"service\":\"portal\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
         \"batch_slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
         \"born\":1}}"
    )
}
