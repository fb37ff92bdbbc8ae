//! Invalid requests are refused with a fixed code and verdict, and nothing runs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use celeryhaven_entry::EntryProcess;
use celeryhaven_link::{Credentials, LinkEndpoint, LinkLimits};
use celeryhaven_stand_ins::caller::{Ask, Caller, PlainCall, Reply};
use celeryhaven_stand_ins::engine::EngineSettings;
use serde_json::Value;
use support::{BLENDERS_KEY, COOP_KEY, World, any, get_status, until};

const LIMITS: &str = "body_limit_bytes: 4096\nhead_limit_bytes: 2048\nread_timeout_ms: 300\n";

async fn world() -> (World, EntryProcess) {
    let world = World::new(EngineSettings::new().with_decode_us(1_000)).await;
    let entry = world.entry("entry-1", &[], LIMITS).await;
    (world, entry)
}

/// Sends raw bytes and reads until the entry has answered or closed the connection.
fn raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = stream.read(&mut buffer).unwrap_or_else(|error| match error.kind() {
            ErrorKind::ConnectionReset => 0,
            other => panic!("expected an answer or a close within the timeout: {other}"),
        });
        if read == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..read]);
        if String::from_utf8_lossy(&answer).contains("\"verdict\"") {
            break;
        }
    }
    String::from_utf8(answer).unwrap()
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn assert_refused(answer: &str, status: u16, code: &str) {
    assert_refused_as(answer, status, code, "not_run");
}

fn assert_refused_as(answer: &str, status: u16, code: &str, verdict: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.to_lowercase().contains(&format!("x-verdict: {verdict}\r")), "{answer}");
}

async fn nothing_ran(world: &World) -> bool {
    let logs = world.fleet.runs().await;
    logs.values().all(|log| log.runs().is_empty()) && world.plain.runs().is_empty()
}

fn code_of(reply: &Reply) -> (u16, &str, bool) {
    (reply.status, reply.code.as_deref().unwrap_or(""), reply.not_run())
}

#[test]
fn complete_malformed_body() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let bodies = [
            "",
            "{",
            "[]",
            "{\"model\": 5, \"prompt\": \"x\"}",
            "{\"model\": \"\", \"prompt\": \"x\"}",
            "{\"model\": \"draft\"}",
            "{\"model\": \"draft\", \"prompt\": \"x\", \"max_tokens\": -1}",
        ];
        for body in bodies {
            let answer = raw(entry.http_address(), &post("/v1/completions", "", body));
            assert_refused(&answer, 400, "bad_request");
        }
        let headers =
            ["x-deadline-ms: soon\r\n", "x-deadline-ms: 0\r\n", "x-idempotent: maybe\r\n"];
        for header in headers {
            let body = "{\"model\": \"draft\", \"prompt\": \"x\"}";
            let answer = raw(entry.http_address(), &post("/v1/completions", header, body));
            assert_refused(&answer, 400, "bad_request");
        }
        assert_refused(&raw(entry.http_address(), &post("/v2/other", "", "")), 400, "bad_request");
        assert!(nothing_ran(&world).await);
        entry.kill();
    });
}

// An invalid retry with the key of an update that ran is not answered "not run", which would make
// the caller repeat the update under another key.
#[test]
fn call_malformed_with_key_may_have_run() {
    smol::block_on(async {
        let (_world, entry) = world().await;
        let address = entry.http_address();
        let headers = "idempotency-key: lot-17\r\nx-idempotent: false\r\n";
        let cases = [("{", 400, "bad_request"), (&*"x".repeat(200_000), 413, "body_too_large")];
        for (body, status, code) in cases {
            let request = post("/v1/completions", headers, body);
            let answer = smol::unblock(move || raw(address, &request)).await;
            assert_refused_as(&answer, status, code, "may_have_run");
        }
    });
}

#[test]
fn complete_without_key() {
    smol::block_on(async {
        let (world, entry) = world().await;
        for key in ["", "other-key", "coop-key2"] {
            let caller = Caller::new(key);
            let reply = caller.complete(entry.http_address(), &Ask::new("draft", "x", 2)).await;
            assert_eq!(code_of(&reply), (401, "unauthenticated", true));
            let call = PlainCall::new("GET", "/services/portal/x");
            let reply = caller.call(entry.http_address(), &call).await;
            assert_eq!(code_of(&reply), (401, "unauthenticated", true));
        }
        let url = format!("http://{}/v1/keys", entry.http_address());
        let body = serde_json::json!({"count": 1});
        let (status, _) = Caller::new("no").send("POST", &url, Some(body)).await.unwrap();
        assert_eq!(status, 401);
        assert!(nothing_ran(&world).await);
        entry.kill();
    });
}

/// Forbidden and unknown models get the same answer, except for the request ID, so that an
/// organisation cannot find out what others use.
#[test]
fn complete_forbidden_like_unknown() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let caller = Caller::new(BLENDERS_KEY);
        let ask = |model: &str| Ask::new(model, "x", 2);
        let unknown = caller.complete(entry.http_address(), &ask("nothing")).await;
        let forbidden = caller.complete(entry.http_address(), &ask("private")).await;
        assert_eq!(code_of(&unknown), (404, "unknown_model", true));
        assert_eq!(code_of(&forbidden), (404, "unknown_model", true));
        assert_eq!(without_id(&unknown.text), without_id(&forbidden.text));
        let call = |service: &str| PlainCall::new("GET", format!("/services/{service}/x"));
        let unknown = caller.call(entry.http_address(), &call("nothing")).await;
        let forbidden = caller.call(entry.http_address(), &call("portal")).await;
        assert_eq!(code_of(&unknown), (404, "unknown_service", true));
        assert_eq!(without_id(&unknown.text), without_id(&forbidden.text));
        assert!(nothing_ran(&world).await);
        entry.kill();
    });
}

fn without_id(body: &str) -> Value {
    let mut body: Value = serde_json::from_str(body).unwrap();
    body["error"].as_object_mut().unwrap().remove("request_id").unwrap();
    body
}

#[test]
fn complete_body_too_large() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let prompt = "x".repeat(10_000);
        let body = format!("{{\"model\": \"draft\", \"prompt\": \"{prompt}\"}}");
        let answer = raw(entry.http_address(), &post("/v1/completions", "", &body));
        assert_refused(&answer, 413, "body_too_large");
        let chunked = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
             transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        );
        assert_refused(&raw(entry.http_address(), chunked.as_bytes()), 413, "body_too_large");
        // Large enough that the caller is still sending when it is refused.
        let body = "x".repeat(30 << 20);
        let answer = raw(entry.http_address(), &post("/v1/completions", "", &body));
        assert_refused(&answer, 413, "body_too_large");
        assert!(nothing_ran(&world).await);
        entry.kill();
    });
}

/// A head above the limit is refused, and one far above it closes the connection; neither fills
/// memory nor affects other callers.
#[test]
fn complete_header_flood() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let body = "{\"model\": \"draft\", \"prompt\": \"x\"}";
        let headers = "x-more: 0123456789012345678901234567890123456789\r\n".repeat(60);
        let answer = raw(entry.http_address(), &post("/v1/completions", &headers, body));
        assert_refused(&answer, 400, "bad_request");
        let flood = "x-more: 0123456789012345678901234567890123456789\r\n".repeat(20_000);
        let answer = raw(entry.http_address(), &post("/v1/completions", &flood, body));
        assert!(!answer.contains(" 200 "), "{answer}");
        assert!(nothing_ran(&world).await);
        assert!(get_status(entry.http_address(), "/healthz", 200).await);
        entry.kill();
    });
}

/// An incomplete body does not hold its connection and memory beyond the read timeout.
#[test]
fn complete_slow_body() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let half = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
             content-length: 100\r\n\r\n{{\"model\":"
        );
        assert_refused(&raw(entry.http_address(), half.as_bytes()), 408, "slow_caller");
        assert!(nothing_ran(&world).await);
        entry.kill();
    });
}

/// A connection with an incomplete head, or without any byte, is closed after the read timeout.
#[test]
fn connect_half_open_head() {
    smol::block_on(async {
        let (world, entry) = world().await;
        assert_eq!(raw(entry.http_address(), b"POST /v1/comple"), "");
        assert_eq!(raw(entry.http_address(), b""), "");
        assert!(get_status(entry.http_address(), "/healthz", 200).await);
        drop(world);
        entry.kill();
    });
}

/// A caller that does not read its answer does not hold memory and connection indefinitely.
#[test]
fn call_answer_not_read() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "read_timeout_ms: 2000\n").await;
        // Each byte is escaped to six bytes in the JSON answer.
        let body = "\u{1}".repeat(3 << 20);
        let mut stream = TcpStream::connect(entry.http_address()).unwrap();
        stream.write_all(&post("/services/portal/lots", "", &body)).unwrap();
        until("the call runs", || async { !world.plain.runs().is_empty() }).await;
        until("nothing is in flight", || async { entry.metrics().in_flight.get() == 0 }).await;
        let mut taken = 0;
        let mut buffer = vec![0; 1 << 20];
        while let Ok(read @ 1..) = stream.read(&mut buffer) {
            taken += read;
        }
        assert!(taken < 6 * body.len(), "the answer was held until the caller read it");
        entry.kill();
    });
}

/// The read timeout does not apply while a caller waits for its answer.
#[test]
fn complete_longer_than_read_timeout() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new().with_decode_us(50_000)).await;
        let entry = world.entry("entry-1", &[], "read_timeout_ms: 200\n").await;
        let ask = Ask::new("draft", "slow", 30).with_stream(false);
        let reply = Caller::new(COOP_KEY).complete(entry.http_address(), &ask).await;
        assert!(reply.whole(), "{reply:?}");
        entry.kill();
    });
}

/// An operator's certificate on the peer port is refused: it could delegate requests for any
/// organisation.
#[test]
fn peer_operator_certificate() {
    smol::block_on(async {
        let (world, entry) = world().await;
        let file = |name: &str| world.folder.join(name);
        let credentials = Credentials::load(
            &file("ilze.operator.crt"),
            &file("ilze.operator.key"),
            &file("authority.crt"),
        );
        let client =
            LinkEndpoint::client(any(), &credentials.unwrap(), LinkLimits::default()).unwrap();
        let refused = match client.connect(entry.peer_address()).await {
            Err(_) => true,
            Ok(link) => link.receive_bytes().await.is_err() && !link.is_open(),
        };
        assert!(refused);
        entry.kill();
    });
}

#[test]
fn start_certificate_of_another_node() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let text =
            world.settings("entry-1", any(), &[], "").replace("node: entry-1", "node: entry-2");
        let settings = celeryhaven_settings::EntrySettings::from_yaml("entry.yaml", &text).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let error = EntryProcess::start(&settings, log).err().unwrap().to_string();
        let expected = "the certificate is for `entry-1.node.celeryhaven`, but `node` is `entry-2`";
        assert!(error.starts_with(expected), "{error}");
    });
}
