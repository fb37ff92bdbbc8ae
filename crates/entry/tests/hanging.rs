//! Engines that hang after the end mark, and callers that send while they wait for an answer.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use celeryhaven_stand_ins::caller::Caller;
use celeryhaven_stand_ins::engine::EngineSettings;
use celeryhaven_stand_ins::http::{Answer, Request, Serve, Server, channel_body};
use serde_json::json;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use support::{COOP_KEY, World, any, metric, until};

/// An engine that reports its status, and never closes the connection of an answer.
struct Hanging {
    member: SocketAddr,
    asked: Arc<AtomicU32>,
}

impl Serve for Hanging {
    async fn serve(&self, request: Request) -> Answer {
        if request.path == "/status" {
            let url = format!("http://{}/status", self.member);
            let status = Caller::new("").send("GET", &url, None).await;
            return status.map_or(Answer::Close, |(code, body)| Answer::json(code, &body));
        }
        self.asked.fetch_add(1, Ordering::SeqCst);
        let id = request.header("x-request-id").unwrap().to_owned();
        let event = json!({"id": id, "index": 0, "choices": [{"text": "all"}]});
        let (sender, body) = channel_body();
        sender.try_send(Ok(format!("data: {event}\n\ndata: [DONE]\n\n").into_bytes())).unwrap();
        std::mem::forget(sender);
        Answer::new(200, body).with_header("x-request-id", id)
    }
}

// A stream is complete at its end mark: an engine that hangs afterwards causes neither a failed
// attempt nor a retry.
#[test]
fn stream_hangs_after_done() {
    smol::block_on(async {
        let mut world = World::new(EngineSettings::new()).await;
        let asked = Arc::new(AtomicU32::new(0));
        let mut servers = Vec::new();
        for vm in ["vm-0", "vm-2"] {
            let hanging = Hanging { member: world.engines[vm], asked: asked.clone() };
            let server = Server::bind(any(), Arc::new(hanging)).await.unwrap();
            world.engines.insert(vm.to_owned(), server.address());
            servers.push(server);
        }
        world.write_vm_list(&[]).await;
        let entry = world.entry("entry-1", &[], "silence_timeout_ms: 500\n").await;
        let body = r#"{"model":"draft","prompt":"x","max_tokens":1,"stream":true}"#;
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(entry.http_address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert_eq!(answer.matches("data: ").count(), 2, "{answer}");
        assert!(answer.contains("data: [DONE]\n\n"), "{answer}");
        smol::Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(asked.load(Ordering::SeqCst), 1, "expected one attempt");
        let line = r#"celeryhaven_requests_total{organisation="coop",verdict="answered",code=""}"#;
        until("it is counted", || async { metric(&entry, line) >= 1.0 }).await;
        entry.kill();
    });
}

// Bytes that a caller sends while it waits for its answer do not accumulate in the entry's memory.
#[test]
fn caller_sends_while_waiting() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new().with_decode_us(100_000)).await;
        let entry = world.entry("entry-1", &[], "").await;
        let body = r#"{"model":"draft","prompt":"x","max_tokens":200}"#;
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(entry.http_address()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut sent = 0_usize;
        let piece = vec![b'x'; 1 << 20];
        while sent < 64 << 20 {
            let writing = async { Some(stream.write(&piece).await.unwrap()) };
            let blocked = async {
                smol::Timer::after(Duration::from_secs(1)).await;
                None
            };
            match smol::future::or(writing, blocked).await {
                Some(written) => sent += written,
                None => break,
            }
        }
        assert!(sent < 64 << 20, "the entry took {sent} bytes");
        entry.kill();
    });
}
