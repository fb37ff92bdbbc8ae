//! Load from callers does not delay the control thread.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use celeryhaven_entry::EntryProcess;
use celeryhaven_stand_ins::engine::EngineSettings;
use support::{COOP_KEY, World, metric, until};

const CALLERS: usize = 16;
const WINDOW: Duration = Duration::from_secs(3);

/// Work of the control thread in one measurement window.
#[derive(Debug)]
struct Window {
    ticks: f64,
    late: f64,
    polls: f64,
    events: f64,
    cpu_s: f64,
}

impl Window {
    fn read(entry: &EntryProcess) -> Self {
        let polls = r#"celeryhaven_calls_total{call="poll",outcome="answered"}"#;
        Self {
            ticks: metric(entry, "celeryhaven_control_ticks_total"),
            late: metric(entry, "celeryhaven_control_ticks_late_total"),
            polls: metric(entry, polls),
            events: metric(entry, "celeryhaven_control_events_total"),
            cpu_s: metric(entry, "celeryhaven_control_cpu_seconds_total"),
        }
    }

    async fn measure(entry: &EntryProcess) -> Self {
        let before = Self::read(entry);
        smol::Timer::after(WINDOW).await;
        let after = Self::read(entry);
        Self {
            ticks: after.ticks - before.ticks,
            late: after.late - before.late,
            polls: after.polls - before.polls,
            events: after.events - before.events,
            cpu_s: after.cpu_s - before.cpu_s,
        }
    }

    fn late_share(&self) -> f64 {
        self.late / self.ticks.max(1.0)
    }
}

/// Sends requests back to back on one connection; each one passes the control thread.
fn flood(address: SocketAddr, stop: &AtomicBool, answered: &AtomicU64) {
    let body = r#"{"model":"nothing","prompt":"flood"}"#;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).unwrap();
    let mut buffer = [0; 4_096];
    while !stop.load(Ordering::Relaxed) {
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        while !answer.contains("\"verdict\"") {
            let read = stream.read(&mut buffer).unwrap();
            assert!(read > 0, "{answer}");
            answer.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

// A burst of requests beyond the capacity of the entry must not delay polls, or reports expire and
// whole replicas drop out. Only the ratio of the two windows is checked.
#[test]
fn control_under_flood() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let quiet = Window::measure(&entry).await;
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let address = entry.http_address();
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let (stop, answered) = (stop.clone(), answered.clone());
                std::thread::spawn(move || flood(address, &stop, &answered))
            })
            .collect();
        until("the flood runs", || async { answered.load(Ordering::Relaxed) > 100 }).await;
        let before = answered.load(Ordering::Relaxed);
        let flooded = Window::measure(&entry).await;
        let requests = answered.load(Ordering::Relaxed) - before;
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().for_each(|caller| caller.join().unwrap());
        println!("quiet {quiet:?}\nflooded {flooded:?}\nrequests {requests}");
        assert!(flooded.polls > 0.7 * quiet.polls, "{quiet:?} {flooded:?}");
        assert!(flooded.late_share() < quiet.late_share() + 0.2, "{quiet:?} {flooded:?}");
        assert_eq!(entry.metrics().replicas_whole.get(), 2);
        assert!(
            requests as f64 > 20.0 * quiet.ticks,
            "load too low for this test: {requests} requests"
        );
        entry.kill();
    });
}
