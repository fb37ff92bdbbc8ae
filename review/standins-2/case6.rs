//! A faulty server sends bytes that are no answer, without end, until the caller closes.

#[path = "rig.rs"]
mod rig;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Channel, Machine, Record, Store, answer, config, entry, listen};

/// The route's `timeout_ms`, and the time after it within which rule CONFIG wants an answer.
const TIMEOUT: Duration = Duration::from_millis(800);
const LATEST: Duration = Duration::from_millis(500);

/// Requests, and the pause between two.
const REQUESTS: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);

/// A sound server answers each request after 20 ms.
fn serve_sound(mut channel: Channel, name: &str, record: &Record) {
    while let Ok(Some(head)) = channel.head() {
        if channel.body(&head).is_err() {
            return;
        }
        let id = head.field("x-celeryhaven-attempt-id").unwrap_or_default().to_owned();
        if head.field("x-celeryhaven-expect-instance").is_some_and(|expected| expected != name) {
            let fields = format!("x-celeryhaven-attempt-id: {id}\r\n");
            if channel.write(&answer("421 Misdirected Request", &fields, "")).is_err() {
                return;
            }
            continue;
        }
        record.add(format!("run      {id} at {name}"));
        thread::sleep(Duration::from_millis(20));
        let fields =
            format!("x-celeryhaven-attempt-id: {id}\r\nx-celeryhaven-response-seal: s.{id}\r\n");
        if channel.write(&answer("200 OK", &fields, &format!("body of {id}"))).is_err() {
            return;
        }
    }
}

/// A faulty server sends interim heads, none of which is an answer, until the caller closes.
fn serve_endless(mut channel: Channel, name: &str, record: &Record) {
    let Ok(Some(head)) = channel.head() else { return };
    let id = head.field("x-celeryhaven-attempt-id").unwrap_or_default().to_owned();
    record.add(format!("run      {id} at {name}, which sends bytes without end"));
    let interim = format!("HTTP/1.1 103 Early Hints\r\n{}\r\n", "a: b\r\n".repeat(60));
    let piece = interim.repeat(2_000);
    let began = Instant::now();
    let mut sent = 0;
    while channel.stream.write_all(piece.as_bytes()).is_ok() {
        sent += piece.len();
    }
    record.add(format!(
        "closed   {id} at {name}: the machine closed after {} ms and {sent} bytes",
        began.elapsed().as_millis()
    ));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder, record_file, trouble] = &arguments[..] else { std::process::exit(2) };
    let (folder, has_trouble) = (PathBuf::from(folder), trouble != "0");
    let record = Record::new();
    let store = Store::default();
    let store_address = store.start();
    store.put("config", "main", &config(7, TIMEOUT.as_millis() as u64, 2));
    for number in 0..3 {
        let (name, own) = (format!("p-{number}"), record.clone());
        let is_faulty = has_trouble && number == 2;
        let server = name.clone();
        let address = listen(move |channel| match is_faulty {
            true => serve_endless(channel, &server, &own),
            false => serve_sound(channel, &server, &own),
        });
        store.put("servers", &name, &entry(address, 1));
    }
    let machine = Machine::start(root, &folder, "front-1", store_address);
    if !machine.wait_ready() {
        machine.end();
        std::process::exit(2);
    }
    record.add("ready    front-1");
    let callers = machine.callers;
    // Status of each answer and when it came, in milliseconds since its request was sent.
    let answers: Arc<Mutex<BTreeMap<usize, (u16, u128)>>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let (own, answers) = (record.clone(), answers.clone());
        requesters.push(thread::spawn(move || {
            let sent = Instant::now();
            let exchange = || -> std::io::Result<u16> {
                let stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1))?;
                stream.set_read_timeout(Some(Duration::from_secs(5)))?;
                let mut channel = Channel::new(stream);
                own.add(format!("sent     q-{number}"));
                channel.write(&format!(
                    "GET /safe/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k\r\n\
                     x-celeryhaven-attempt-id: q-{number}\r\n\
                     x-celeryhaven-time-budget-ms: 1500\r\n\r\n"
                ))?;
                let Some(head) = channel.head()? else { return Ok(0) };
                channel.body(&head)?;
                Ok(head.status())
            };
            let status = exchange().unwrap_or(0);
            let took = sent.elapsed().as_millis();
            own.add(format!("answered q-{number}: {status} after {took} ms (0: no answer)"));
            answers.lock().expect("the answers").insert(number, (status, took));
        }));
        thread::sleep(PAUSE);
    }
    for requester in requesters {
        requester.join().ok();
    }
    machine.end();
    let answers = answers.lock().expect("the answers");
    let open_at_timeout: Vec<_> = answers
        .values()
        .filter(|(status, took)| *status == 0 || *took > TIMEOUT.as_millis())
        .collect();
    let late = open_at_timeout
        .iter()
        .filter(|(status, took)| *status == 0 || *took > (TIMEOUT + LATEST).as_millis());
    let (open, late) = (open_at_timeout.len(), late.count());
    let served = answers.values().filter(|(status, _)| *status == 200).count();
    let is_broken = open > 0 && late * 2 > open;
    record.add(format!(
        "CONFIG: {} requests, {served} served; {open} unanswered at the route's timeout_ms, of these \
         {late} without an answer 500 ms later: {}",
        answers.len(),
        if is_broken { "broken" } else { "held" }
    ));
    record.write(record_file);
    std::process::exit(i32::from(is_broken));
}
