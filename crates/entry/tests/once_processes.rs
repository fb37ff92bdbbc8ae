//! At-most-once execution with entry processes that are stopped, continued and killed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use celeryhaven_stand_ins::caller::{Caller, Outcome, PlainCall, Reply};
use celeryhaven_stand_ins::engine::EngineSettings;
use celeryhaven_stand_ins::plain::PlainFaults;
use rustix::process::{Pid, Signal, kill_process};
use support::{COOP_KEY, World, any, get_status, until};

/// An entry process on fixed addresses.
struct Entry {
    child: Child,
    http: SocketAddr,
    peer: SocketAddr,
    text: String,
}

impl Entry {
    /// Starts an entry and waits until it can reach the plain service.
    async fn start(world: &World, name: &str, seeds: &[SocketAddr]) -> Self {
        // Fixed ports, so that a restarted process has the same addresses.
        let (http, peer) = (free_tcp(), free_udp());
        let text = world.settings(name, http, seeds, "");
        let text = text.replace("peer_listen: 127.0.0.1:0", &format!("peer_listen: {peer}"));
        let text =
            text.replace("peer_advertised: 127.0.0.1:0", &format!("peer_advertised: {peer}"));
        Self::run(world, name, text).await
    }

    /// Kills the process and restarts it on the same addresses, with a new boot and empty state.
    async fn restart(mut self, world: &World, name: &str) -> Self {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let text = self.text.clone();
        drop(self);
        Self::run(world, name, text).await
    }

    async fn run(world: &World, name: &str, text: String) -> Self {
        let file = world.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, &text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_celeryhaven-entry"))
            .args(["--settings", file.to_str().unwrap()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let address = |field: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(field)).unwrap();
            line.parse::<SocketAddr>().unwrap()
        };
        let (http, peer) = (address("http_listen: "), address("peer_listen: "));
        let entry = Self { child, http, peer, text };
        until("the entry is ready", || get_status(http, "/readyz", 200)).await;
        until("the plain service is up", || async {
            let call = PlainCall::new("GET", "/services/portal/probe");
            Caller::new(COOP_KEY).call(http, &call).await.whole()
        })
        .await;
        entry
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    async fn key(&self) -> String {
        Caller::new(COOP_KEY).request_key(self.http).await.unwrap()
    }

    async fn update(&self, key: &str, deadline_ms: u64) -> Reply {
        let call = PlainCall::new("POST", "/services/portal/lots/1")
            .with_body("3")
            .with_header("idempotency-key", key)
            .with_header("x-deadline-ms", deadline_ms.to_string());
        Caller::new(COOP_KEY).call(self.http, &call).await
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_tcp() -> SocketAddr {
    std::net::TcpListener::bind(any()).unwrap().local_addr().unwrap()
}

fn free_udp() -> SocketAddr {
    std::net::UdpSocket::bind(any()).unwrap().local_addr().unwrap()
}

/// Starts two entries and waits until the second delegates requests with keys of the first.
async fn connected_entries(world: &World) -> (Entry, Entry) {
    let first = Entry::start(world, "entry-1", &[]).await;
    let second = Entry::start(world, "entry-2", &[first.peer]).await;
    until("the entries are connected", || async {
        let key = first.key().await;
        second.update(&key, 10_000).await.whole()
    })
    .await;
    (first, second)
}

fn runs_of(world: &World, key: &str) -> usize {
    let runs = world.plain.runs();
    runs.iter().filter(|run| run.idempotency_key.as_deref() == Some(key)).count()
}

// A retry at another entry gets "may have run" while the issuer is paused; after the issuer
// continues, a retry is answered and the update has run once.
#[test]
fn once_issuer_stopped_and_continued() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let (first, second) = connected_entries(&world).await;
        let key = first.key().await;
        first.signal(Signal::STOP);
        let reply = second.update(&key, 1_500).await;
        assert_eq!(reply.verdict.as_deref(), Some("may_have_run"), "{reply:?}");
        assert_eq!(runs_of(&world, &key), 0);
        first.signal(Signal::CONT);
        until("the retry is answered", || async { second.update(&key, 10_000).await.whole() })
            .await;
        assert_eq!(runs_of(&world, &key), 1);
    });
}

// No retry runs an update again after its issuer was paused beyond the deadline during the run.
#[test]
fn once_issuer_stopped_while_running() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let (first, second) = connected_entries(&world).await;
        let key = first.key().await;
        world.plain.set_faults(PlainFaults { slow_ms: 500, ..PlainFaults::default() });
        let freezing = async {
            until("it runs", || async { runs_of(&world, &key) == 1 }).await;
            first.signal(Signal::STOP);
            let there = second.update(&key, 1_000).await;
            assert_eq!(there.verdict.as_deref(), Some("may_have_run"), "{there:?}");
            smol::Timer::after(std::time::Duration::from_millis(1_500)).await;
            first.signal(Signal::CONT);
        };
        let (here, ()) = smol::future::zip(first.update(&key, 2_000), freezing).await;
        assert_ne!(here.verdict.as_deref(), Some("not_run"), "{here:?}");
        for entry in [&first, &second, &first] {
            let reply = entry.update(&key, 5_000).await;
            assert_ne!(reply.verdict.as_deref(), Some("not_run"), "{reply:?}");
        }
        assert_eq!(runs_of(&world, &key), 1);
    });
}

// After the issuer was killed during the run and restarted, no entry runs the update again.
#[test]
fn once_issuer_killed_and_started_anew() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let (first, second) = connected_entries(&world).await;
        let key = first.key().await;
        world.plain.set_faults(PlainFaults { slow_ms: 400, ..PlainFaults::default() });
        let killing = async {
            until("it runs", || async { runs_of(&world, &key) == 1 }).await;
            first.signal(Signal::KILL);
        };
        let (here, ()) = smol::future::zip(first.update(&key, 5_000), killing).await;
        assert!(!here.whole(), "{here:?}");
        let first = first.restart(&world, "entry-1").await;
        for entry in [&second, &first, &second] {
            let reply = entry.update(&key, 5_000).await;
            assert_eq!(reply.outcome, Outcome::Refused, "{reply:?}");
            assert_eq!(reply.verdict.as_deref(), Some("may_have_run"), "{reply:?}");
        }
        assert_eq!(runs_of(&world, &key), 1);
    });
}

// The same update with a key of the caller's own, sent to two entries at once, runs once and gets
// one answer.
#[test]
fn once_own_keys_at_two_entries() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let (first, second) = connected_entries(&world).await;
        for number in 0..20 {
            let key = format!("quote-{number}");
            let pair =
                smol::future::zip(first.update(&key, 10_000), second.update(&key, 10_000)).await;
            assert!(pair.0.whole() && pair.1.whole(), "{pair:?}");
            assert_eq!(pair.0.text, pair.1.text);
            assert_eq!(runs_of(&world, &key), 1);
        }
    });
}
