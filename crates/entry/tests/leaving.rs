//! A graceful stop interrupts no request.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use celeryhaven_stand_ins::caller::{Ask, Caller};
use celeryhaven_stand_ins::engine::EngineSettings;
use support::{COOP_KEY, World, any, get_status, metric, until};

// A leaving entry completes its streams and serves callers with an old address answer, while new
// address answers name only the other entry.
#[test]
fn leave_during_stream() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new().with_decode_us(10_000)).await;
        let first = world.entry("entry-1", &[], "address_ttl_ms: 3000\n").await;
        let second = world.entry("entry-2", &[], "").await;
        let here = first.http_address();
        let both = [("entry-1", here), ("entry-2", second.http_address())];
        world.write_vm_list(&both).await;
        let caller = Caller::new(COOP_KEY);
        until("both are named", || async { caller.addresses(here, "dc-a").await.len() == 2 }).await;
        let ask = Ask::new("draft", "long", 400);
        let reading = caller.complete(here, &ask);
        let leaving = async {
            until("the stream runs", || async {
                metric(&first, "celeryhaven_first_token_seconds_count") >= 1.0
            })
            .await;
            first.leaver().leave();
            until("it is not ready", || get_status(here, "/readyz", 503)).await;
            assert_eq!(caller.addresses(here, "dc-a").await, vec![second.http_address()]);
            let late = caller.complete(here, &Ask::new("draft", "late", 5)).await;
            assert!(late.whole(), "{late:?}");
        };
        let (reply, ()) = smol::future::zip(reading, leaving).await;
        assert!(reply.whole(), "{reply:?}");
        smol::unblock(|| first.wait_left()).await.unwrap();
        assert!(!get_status(here, "/healthz", 200).await);
        second.kill();
    });
}

// A query that arrives after the control thread has stopped blocks neither its caller nor the exit
// of the process.
#[test]
fn leave_while_asked() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "address_ttl_ms: 200\n").await;
        let here = entry.http_address();
        until("it answers", || get_status(here, "/v1/address", 200)).await;
        let asking = (0..32).map(|_| smol::spawn(ask_until_closed(here))).collect::<Vec<_>>();
        entry.leaver().leave();
        let left = async {
            smol::unblock(|| entry.wait_left()).await.unwrap();
            for asking in asking {
                asking.await;
            }
            true
        };
        let late = async {
            smol::Timer::after(Duration::from_secs(30)).await;
            false
        };
        assert!(
            smol::future::or(left, late).await,
            "the entry did not exit in time, or a caller is still waiting"
        );
    });
}

async fn ask_until_closed(here: SocketAddr) {
    let caller = Caller::new(COOP_KEY);
    let url = format!("http://{here}/v1/address");
    while caller.send("GET", &url, None).await.is_some() {}
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

// SIGTERM during a stream: the process exits with code 0 after the stream is complete.
#[test]
fn leave_on_sigterm() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new().with_decode_us(10_000)).await;
        let (mut process, here) = start_process(&world).await;
        // Idle connections must not delay the exit.
        let caller = Caller::new(COOP_KEY).with_kept_connections();
        let ask = Ask::new("draft", "long", 300);
        let reading = caller.complete(here, &ask);
        let pid = rustix::process::Pid::from_child(&process.0);
        let stopping = async {
            smol::Timer::after(Duration::from_millis(500)).await;
            rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
        };
        let (reply, ()) = smol::future::zip(reading, stopping).await;
        assert!(reply.whole(), "{reply:?}");
        assert_eq!(exit_code(&mut process.0).await, Some(0));
    });
}

/// Starts the program on a free port and waits until it serves.
///
/// Retries with another port if the port is taken before the start.
async fn start_process(world: &World) -> (Process, SocketAddr) {
    loop {
        let here = TcpListener::bind(any()).unwrap().local_addr().unwrap();
        let text = world.settings("entry-1", here, &[], "");
        let file = world.folder.join("entry.yaml");
        std::fs::write(&file, &text).unwrap();
        let program = env!("CARGO_BIN_EXE_celeryhaven-entry");
        let mut command = Command::new(program);
        command.args(["--settings", file.to_str().unwrap()]).stderr(Stdio::null());
        let mut process = Process(command.spawn().unwrap());
        let caller = Caller::new(COOP_KEY);
        let start = Instant::now();
        while process.0.try_wait().unwrap().is_none() {
            assert!(
                start.elapsed() < Duration::from_secs(30),
                "the process did not serve a request within 30 s"
            );
            if caller.complete(here, &Ask::new("draft", "probe", 1)).await.whole() {
                return (process, here);
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    }
}

async fn exit_code(child: &mut Child) -> Option<i32> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(30) {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    None
}

#[test]
fn run_wrong_settings() {
    let folder = std::env::temp_dir().join(format!("celeryhaven-run-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("entry.yaml");
    std::fs::write(&file, "node: entry-1\nlisten: here\n").unwrap();
    let run = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_celeryhaven-entry")).args(args).output().unwrap()
    };
    let path = file.to_str().unwrap();
    let checked = run(&["--check", "--settings", path]);
    let error = String::from_utf8(checked.stderr).unwrap();
    assert_eq!(checked.status.code(), Some(3));
    assert!(error.contains(":2: `listen` is not a known field"), "{error}");
    assert_eq!(run(&["--settings"]).status.code(), Some(2));
    assert_eq!(run(&["--settings", path, "--loud"]).status.code(), Some(2));
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}
