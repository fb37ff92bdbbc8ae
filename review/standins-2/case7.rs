//! Requesters that read slowly: the machine cuts their answers.

#[path = "rig.rs"]
mod rig;

use std::io::Read;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Channel, Machine, Record, Store, answer, config, entry, listen};

const REQUESTERS: usize = 8;
const ANSWER_BYTES: usize = 200_000;
const TIMEOUT: Duration = Duration::from_secs(90);

/// What a slow requester reads at once, and the pause between two reads: 4 KB a second.
const PIECE_BYTES: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(500);

fn serve(mut channel: Channel, name: &str, record: &Record) {
    while let Ok(Some(head)) = channel.head() {
        if channel.body(&head).is_err() {
            return;
        }
        let id = head.field("x-celeryhaven-attempt-id").unwrap_or_default().to_owned();
        if head.field("x-celeryhaven-expect-instance").is_some_and(|expected| expected != name) {
            return;
        }
        record.add(format!("run      {id} at {name}"));
        let bytes = if id.starts_with("large") { ANSWER_BYTES } else { 800 };
        let fields =
            format!("x-celeryhaven-attempt-id: {id}\r\nx-celeryhaven-response-seal: s.{id}\r\n");
        if channel.write(&answer("200 OK", &fields, &"x".repeat(bytes))).is_err() {
            record.add(format!("broken   {id} at {name}: the machine closed"));
            return;
        }
        record.add(format!("written  {id} at {name}"));
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k\r\n\
         x-celeryhaven-attempt-id: {id}\r\nx-celeryhaven-time-budget-ms: 90000\r\n\
         content-length: 2\r\n\r\nhi"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder, record_file, trouble] = &arguments[..] else { std::process::exit(2) };
    let (folder, has_trouble) = (PathBuf::from(folder), trouble != "0");
    let record = Record::new();
    let store = Store::default();
    let store_address = store.start();
    store.put("config", "main", &config(7, TIMEOUT.as_millis() as u64, 1));
    for number in 0..3 {
        let (name, own) = (format!("p-{number}"), record.clone());
        let server = name.clone();
        let address = listen(move |channel| serve(channel, &server, &own));
        store.put("servers", &name, &entry(address, 1));
    }
    let machine = Machine::start(root, &folder, "front-1", store_address);
    if !machine.wait_ready() {
        machine.end();
        std::process::exit(2);
    }
    thread::sleep(Duration::from_millis(500));
    machine.signal("-HUP");
    record.add("planned  SIGHUP at front-1: its settings file is as it was");
    thread::sleep(Duration::from_millis(200));
    let callers = machine.callers;
    let cut: Arc<Mutex<usize>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..REQUESTERS {
        let (own, cut) = (record.clone(), cut.clone());
        requesters.push(thread::spawn(move || {
            let exchange = || -> std::io::Result<(u16, usize)> {
                let stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1))?;
                stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                let mut channel = Channel::new(stream);
                channel.write(&request(&format!("small-{number}")))?;
                let Some(head) = channel.head()? else { return Ok((0, 0)) };
                channel.body(&head)?;
                own.add(format!("answered small-{number}: {} on the same channel", head.status()));
                let began = Instant::now();
                channel.write(&request(&format!("large-{number}")))?;
                let Some(head) = channel.head()? else { return Ok((0, 0)) };
                let mut received = channel.buffer.len();
                let mut piece = vec![0; if has_trouble { PIECE_BYTES } else { 65_536 }];
                while received < ANSWER_BYTES {
                    if has_trouble {
                        thread::sleep(PAUSE);
                    }
                    let length = match channel.stream.read(&mut piece) {
                        Ok(0) => break,
                        Ok(length) => length,
                        Err(error) => {
                            own.add(format!(
                                "cut      large-{number}: {error} after {} ms, {received} bytes",
                                began.elapsed().as_millis()
                            ));
                            break;
                        }
                    };
                    received += length;
                }
                Ok((head.status(), received))
            };
            let (status, received) = exchange().unwrap_or((0, 0));
            own.add(format!(
                "answered large-{number}: {status}, {received} of {ANSWER_BYTES} bytes"
            ));
            *cut.lock().expect("the count") += usize::from(received < ANSWER_BYTES);
        }));
    }
    for requester in requesters {
        requester.join().ok();
    }
    machine.end();
    let cut = *cut.lock().expect("the count");
    let is_broken = cut > 3;
    record.add(format!(
        "LOST: {cut} of {REQUESTERS} requests of kept channels were passed on to a sound server, and \
         their channels closed without the whole answer: {}",
        if is_broken { "broken" } else { "held" }
    ));
    record.write(record_file);
    std::process::exit(i32::from(is_broken));
}
