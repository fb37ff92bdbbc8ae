//! Answers to callers when targets fail.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryhaven_entry::EntryProcess;

use celeryhaven_stand_ins::caller::{Ask, Caller, Outcome, PlainCall, Reply};
use celeryhaven_stand_ins::engine::{EngineFault, EngineFaults, EngineSettings, RunOutcome};
use celeryhaven_stand_ins::plain::PlainFaults;
use smol::Task;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use support::{COOP_KEY, World, any, metric, until};

fn paced() -> EngineSettings {
    EngineSettings::new().with_decode_us(5_000)
}

async fn set_all(world: &World, faults: EngineFaults) {
    for vm in world.engines.keys() {
        world.fleet.set_fault(vm, EngineFault::Set(faults)).await.unwrap();
    }
}

async fn runs(world: &World) -> Vec<celeryhaven_stand_ins::engine::EngineRun> {
    world.fleet.runs().await.values().flat_map(|log| log.runs()).collect()
}

// A stream is resumed at another replica when a member fails: every token is delivered exactly
// once.
#[test]
fn stream_member_dies() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let ask = Ask::new("draft", "long", 300);
        let caller = Caller::new(COOP_KEY);
        let reading = caller.complete(entry.http_address(), &ask);
        let killing = async {
            until("tokens flow", || async { !runs(&world).await.is_empty() }).await;
            smol::Timer::after(Duration::from_millis(150)).await;
            let on = runs(&world).await[0].replica.clone();
            let member = if on == "r-1" { "vm-1" } else { "vm-3" };
            world.fleet.set_fault(member, EngineFault::Die).await.unwrap();
        };
        let (reply, ()) = smol::future::zip(reading, killing).await;
        assert!(reply.whole(), "{reply:?}");
        let replicas: BTreeSet<_> = runs(&world).await.into_iter().map(|run| run.replica).collect();
        assert_eq!(replicas.len(), 2, "expected the stream to resume at another replica");
        assert!(metric(&entry, "celeryhaven_retries_total") >= 1.0);
        entry.kill();
    });
}

// A stream interrupted by a live engine is resumed without a gap or a repeated token.
#[test]
fn stream_cut_in_the_middle() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let cut = EngineFaults { cut_streams: 1, cut_after_tokens: 7, ..EngineFaults::default() };
        set_all(&world, cut).await;
        let reply = Caller::new(COOP_KEY)
            .complete(entry.http_address(), &Ask::new("draft", "cut", 40))
            .await;
        assert!(reply.whole(), "{reply:?}");
        entry.kill();
    });
}

// An answer with the ID of another request never reaches the caller, and the verdict is "not run"
// only if no engine received the request.
#[test]
fn answer_crossed() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let crossed = EngineFaults { cross_answers: 1, ..EngineFaults::default() };
        let caller = Caller::new(COOP_KEY);
        for (prompt, stream) in [("streamed", true), ("whole", false)] {
            set_all(&world, crossed).await;
            let ask = Ask::new("draft", prompt, 10).with_stream(stream);
            let reply = caller.complete(entry.http_address(), &ask).await;
            assert_ne!(reply.outcome, Outcome::Foreign, "{reply:?}");
            let ran = runs(&world).await.iter().any(|run| run.prompt == prompt);
            assert!(reply.whole() || reply.not_run() != ran, "{reply:?}");
        }
        entry.kill();
    });
}

// The run of a disconnected caller is cancelled at the engine, so that it does not hold a slot.
#[test]
fn caller_goes_away() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new().with_decode_us(20_000)).await;
        let entry = world.entry("entry-1", &[], "").await;
        let mut stream = TcpStream::connect(entry.http_address()).await.unwrap();
        let body = r#"{"model":"draft","prompt":"gone","max_tokens":400,"stream":true}"#;
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {COOP_KEY}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let mut buffer = [0; 512];
        while !answer.contains("data: ") {
            let read = stream.read(&mut buffer).await.unwrap();
            assert!(read > 0, "{answer}");
            answer.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        drop(stream);
        until("the run is cancelled", || async {
            let runs = runs(&world).await;
            runs.len() == 1 && runs[0].outcome == RunOutcome::Cancelled
        })
        .await;
        until("nothing is in flight", || async { entry.metrics().in_flight.get() == 0 }).await;
        entry.kill();
    });
}

// An update whose answer is lost is reported as "may have run" and is not run again.
#[test]
fn update_answer_lost() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let lost = PlainFaults { lose_answer_after_run: 1, ..PlainFaults::default() };
        world.plain.set_faults(lost);
        let call = PlainCall::new("POST", "/services/portal/lots/1").with_body("3");
        let reply = Caller::new(COOP_KEY).call(entry.http_address(), &call).await;
        assert_eq!(reply.outcome, Outcome::Refused, "{reply:?}");
        assert_eq!(reply.verdict.as_deref(), Some("may_have_run"));
        assert_eq!(world.plain.runs().len(), 1);
        entry.kill();
    });
}

// An update that a service refused as not run may be retried, and runs at most once.
#[test]
fn update_refused_as_not_run() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        world.plain.set_faults(PlainFaults { refuse_not_run: 1, ..PlainFaults::default() });
        let call = PlainCall::new("POST", "/services/portal/lots/1").with_body("3");
        let reply = Caller::new(COOP_KEY).call(entry.http_address(), &call).await;
        let runs = world.plain.runs().len();
        assert!((reply.whole() && runs == 1) || (reply.not_run() && runs == 0), "{reply:?} {runs}");
        entry.kill();
    });
}

// A request that every engine refuses as not admitted is reported as "not run".
#[test]
fn complete_refused_everywhere() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        set_all(&world, EngineFaults { refuse: true, ..EngineFaults::default() }).await;
        let ask = Ask::new("draft", "refused", 5).with_header("x-deadline-ms", "1500");
        let reply = Caller::new(COOP_KEY).complete(entry.http_address(), &ask).await;
        assert!(reply.not_run(), "{reply:?}");
        assert!(runs(&world).await.is_empty());
        entry.kill();
    });
}

/// Starts a service that reads a request, sends these bytes and closes the connection.
async fn truncating_service(answer: &'static str) -> (SocketAddr, Task<()>) {
    let listener = TcpListener::bind(any()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = Vec::new();
            let mut buffer = [0; 2_048];
            // Reads to the end, because a close with unread bytes would be a reset.
            while !request.ends_with(b"\r\n\r\n3") {
                match stream.read(&mut buffer).await {
                    Ok(read @ 1..) => request.extend_from_slice(&buffer[..read]),
                    _ => break,
                }
            }
            if !request.is_empty() {
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    (address, serving)
}

/// Retries until the service is up.
async fn call_once_up(entry: &EntryProcess) -> Reply {
    let caller = Caller::new(COOP_KEY);
    let call = PlainCall::new("POST", "/services/portal/lots").with_body("3");
    let start = Instant::now();
    loop {
        let reply = caller.call(entry.http_address(), &call).await;
        if reply.code.as_deref() != Some("no_replica") || start.elapsed().as_secs() > 20 {
            return reply;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

// A truncated answer of a service never reaches the caller as a complete one.
#[test]
fn answer_cut_short() {
    smol::block_on(async {
        let world = World::new(paced()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let answers = [
            "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"path\":",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n50\r\nhello",
            "HTTP/1.1 200 OK\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "",
        ];
        for (number, answer) in (8..).zip(answers) {
            let (address, _serving) = truncating_service(answer).await;
            world.put("config/current", &world.config_with_plain(number, address)).await;
            let number = i64::try_from(number).unwrap();
            until("the change is in force", || async {
                entry.metrics().process.config_number.get() == number
            })
            .await;
            let reply = call_once_up(&entry).await;
            assert_eq!(reply.outcome, Outcome::Refused, "{answer:?}: {reply:?}");
            assert_eq!(reply.verdict.as_deref(), Some("may_have_run"), "{answer:?}: {reply:?}");
        }
        entry.kill();
    });
}
