//! A server crashes in the middle of streams that say how long they are.

#[path = "rig.rs"]
mod rig;

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Channel, Machine, Record, Store, answer, entry, listen};

const SERVERS: usize = 6;
const STREAMS: usize = 24;
const EVENTS: usize = 12;
const GAP: Duration = Duration::from_millis(150);

/// When the server crashes, after the streams have begun.
const CRASH_AFTER: Duration = Duration::from_millis(800);

struct Server {
    name: String,
    number: usize,
    is_down: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    record: Record,
}

/// Returns an event; each server writes words of its own.
fn event(server: usize, id: usize) -> String {
    let words = "lorem ".repeat(2 + server);
    format!("id: {id}\ndata: {words}{id}\n\n")
}

impl Server {
    fn serve(&self, mut channel: Channel) {
        if self.is_down.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(copy) = channel.stream.try_clone() {
            self.channels.lock().expect("the channels").push(copy);
        }
        while let Ok(Some(head)) = channel.head() {
            if channel.body(&head).is_err() || self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let id = head.field("x-celeryhaven-attempt-id").unwrap_or_default().to_owned();
            let is_other =
                head.field("x-celeryhaven-expect-instance").is_some_and(|it| it != self.name);
            if is_other {
                let fields = format!("x-celeryhaven-attempt-id: {id}\r\n");
                if channel.write(&answer("421 Misdirected Request", &fields, "")).is_err() {
                    return;
                }
                continue;
            }
            let last = head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            self.record.add(format!("run      {id} at {} after event {last}", self.name));
            let events: Vec<String> =
                (last + 1..=EVENTS).map(|id| event(self.number, id)).collect();
            let length: usize = events.iter().map(String::len).sum();
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                 x-celeryhaven-attempt-id: {id}\r\nx-celeryhaven-response-seal: s.{}.{id}\r\n\
                 content-length: {length}\r\n\r\n",
                self.name
            );
            if channel.write(&head).is_err() {
                return;
            }
            for event in events {
                if self.is_down.load(Ordering::Relaxed) || channel.write(&event).is_err() {
                    return;
                }
                thread::sleep(GAP);
            }
        }
    }

    fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        for channel in self.channels.lock().expect("the channels").drain(..) {
            channel.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

fn config() -> String {
    let route = "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\",\
                 \"route_kind\":\"stream\",\"timeout_ms\":8000,\"slo_ms\":400,\"priority\":1,\
                 \"service\":\"portal\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,\
                 \"resumable\":true,\"gap_target_ms\":300}";
    rig::config(7, 8_000, 2).replacen("\"routes\":[", &format!("\"routes\":[{route},"), 1)
}

/// What a requester has of a stream: the status, whether its framing says that it is complete, and the
/// ids of its whole events.
fn send(callers: SocketAddr, id: &str) -> std::io::Result<(u16, bool, Vec<usize>, usize)> {
    let stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let mut channel = Channel::new(stream);
    channel.write(&format!(
        "POST /draft/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k\r\n\
         x-celeryhaven-attempt-id: {id}\r\nx-celeryhaven-time-budget-ms: 8000\r\n\
         content-length: 2\r\n\r\nhi"
    ))?;
    let Some(head) = channel.head()? else { return Ok((0, false, Vec::new(), 0)) };
    let body = channel.body(&head);
    let is_complete = body.is_ok();
    let bytes = body.unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids = ids.filter_map(|id| id.parse().ok()).collect();
    Ok((head.status(), is_complete, ids, bytes.len()))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder, record_file, trouble] = &arguments[..] else { std::process::exit(2) };
    let (folder, has_trouble) = (PathBuf::from(folder), trouble != "0");
    let record = Record::new();
    let store = Store::default();
    let store_address = store.start();
    store.put("config", "main", &config());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Arc::new(Server {
            name: format!("p-{number}"),
            number,
            is_down: AtomicBool::new(false),
            channels: Mutex::default(),
            record: record.clone(),
        });
        let own = server.clone();
        let address = listen(move |channel| own.serve(channel));
        store.put("servers", &server.name, &entry(address, 1));
        servers.push(server);
    }
    let machine = Machine::start(root, &folder, "front-1", store_address);
    if !machine.wait_ready() {
        machine.end();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_millis(500));
    let callers = machine.callers;
    let broken: Arc<Mutex<usize>> = Arc::default();
    let whole: Arc<Mutex<usize>> = Arc::default();
    let mut requesters = Vec::new();
    let began = Instant::now();
    for number in 0..STREAMS {
        let (own, broken, whole) = (record.clone(), broken.clone(), whole.clone());
        requesters.push(thread::spawn(move || {
            let id = format!("q-{number}");
            own.add(format!("sent     {id}"));
            let (status, is_complete, ids, bytes) =
                send(callers, &id).unwrap_or((0, false, Vec::new(), 0));
            let is_whole = ids == (1..=EVENTS).collect::<Vec<_>>();
            own.add(format!(
                "answered {id}: {status}, {}, {bytes} bytes, events {ids:?}",
                if is_complete { "complete by its length" } else { "ended early" }
            ));
            *whole.lock().expect("the count") += usize::from(is_whole && is_complete);
            *broken.lock().expect("the count") +=
                usize::from(status == 200 && is_complete && !is_whole);
        }));
    }
    if has_trouble {
        thread::sleep(CRASH_AFTER.saturating_sub(began.elapsed()));
        servers[0].crash();
        // Its entry would go after three heartbeats of silence, when all streams have ended.
        record.add("crash    p-0");
    }
    for requester in requesters {
        requester.join().ok();
    }
    machine.end();
    let (broken, whole) = (*broken.lock().expect("the count"), *whole.lock().expect("the count"));
    record.add(format!(
        "ORDER: of {STREAMS} streams {whole} are whole, {broken} end as complete with pieces missing: {}",
        if broken > 0 { "broken" } else { "held" }
    ));
    record.write(record_file);
    if whole == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(broken > 0));
}
