//! Reuse of connections to targets.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celeryhaven_entry::EntryProcess;
use celeryhaven_stand_ins::caller::{Caller, PlainCall, Reply};
use celeryhaven_stand_ins::engine::EngineSettings;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use support::{COOP_KEY, World, any, until};

/// The connection number of each request path.
type ConnectionLog = Arc<Mutex<Vec<(usize, String)>>>;

/// Starts a service that records on which connection each request arrives.
async fn recording_service() -> (SocketAddr, ConnectionLog) {
    let listener = TcpListener::bind(any()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = ConnectionLog::default();
    let recorded = seen.clone();
    smol::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 1;
            smol::spawn(serve(stream, number, recorded.clone())).detach();
        }
    })
    .detach();
    (address, seen)
}

async fn serve(mut stream: TcpStream, number: usize, seen: ConnectionLog) {
    let mut pending = String::new();
    let mut buffer = [0; 2_048];
    loop {
        while !pending.contains("\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(read @ 1..) => pending.push_str(&String::from_utf8_lossy(&buffer[..read])),
                _ => return,
            }
        }
        let path = pending.split(' ').nth(1).unwrap().to_owned();
        pending.clear();
        seen.lock().unwrap().push((number, path.clone()));
        if path == "/slow" {
            smol::Timer::after(Duration::from_millis(600)).await;
        }
        let named = if path == "/crossed" { "x-request-id: another\r\n" } else { "" };
        let body = format!("{{\"path\":\"{path}\",\"body\":\"\"}}");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\n{named}content-length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn call(entry: &EntryProcess, method: &'static str, path: &str, ms: u64) -> Reply {
    let call = PlainCall::new(method, format!("/services/portal{path}"));
    let caller = Caller::new(COOP_KEY).with_timeout(Duration::from_millis(ms));
    caller.call(entry.http_address(), &call).await
}

/// Retries until the service is up.
async fn answered(entry: &EntryProcess, method: &'static str, path: &str) {
    until("it is answered", || async { call(entry, method, path, 20_000).await.whole() }).await;
}

fn connection(seen: &ConnectionLog, path: &str) -> usize {
    seen.lock().unwrap().iter().rev().find(|(_, found)| found == path).unwrap().0
}

// A connection is reused only after a complete answer, so that a late answer is never read as that
// of the next request, and never for a non-idempotent request.
#[test]
fn connection_after_each_end() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let (address, seen) = recording_service().await;
        world.put("config/current", &world.config_with_plain(8, address)).await;
        until("the change is in force", || async {
            entry.metrics().process.config_number.get() == 8
        })
        .await;
        answered(&entry, "GET", "/a").await;
        answered(&entry, "GET", "/b").await;
        assert_eq!(
            connection(&seen, "/a"),
            connection(&seen, "/b"),
            "reused after a complete answer"
        );
        answered(&entry, "POST", "/update").await;
        assert_ne!(
            connection(&seen, "/update"),
            connection(&seen, "/b"),
            "not reused for an update"
        );
        answered(&entry, "GET", "/c").await;
        assert!(!call(&entry, "GET", "/slow", 200).await.whole());
        answered(&entry, "GET", "/d").await;
        assert_ne!(
            connection(&seen, "/d"),
            connection(&seen, "/slow"),
            "not reused after a disconnect"
        );
        assert!(!call(&entry, "GET", "/crossed", 20_000).await.whole());
        answered(&entry, "GET", "/e").await;
        assert_ne!(
            connection(&seen, "/e"),
            connection(&seen, "/crossed"),
            "not reused after a foreign answer"
        );
        entry.kill();
    });
}
