//! Request keys: a retry never runs an update twice, at whichever entry it arrives.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use celeryhaven_entry::EntryProcess;
use celeryhaven_stand_ins::caller::{Caller, Outcome, PlainCall, Reply};
use celeryhaven_stand_ins::engine::EngineSettings;
use celeryhaven_stand_ins::plain::PlainFaults;
use support::{COOP_KEY, World, metric, until};

async fn update(entry: &EntryProcess, key: &str, body: &str) -> Reply {
    let call = PlainCall::new("POST", "/services/portal/lots/1")
        .with_body(body)
        .with_header("idempotency-key", key);
    Caller::new(COOP_KEY).call(entry.http_address(), &call).await
}

async fn key_of(entry: &EntryProcess) -> String {
    Caller::new(COOP_KEY).request_key(entry.http_address()).await.unwrap()
}

#[test]
fn update_repeated_key() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let key = key_of(&entry).await;
        let first = update(&entry, &key, "3").await;
        let second = update(&entry, &key, "3").await;
        assert!(first.whole() && second.whole(), "{first:?} {second:?}");
        assert_eq!(first.text, second.text);
        assert_eq!(world.plain.runs().len(), 1);
        assert_eq!(world.plain.runs()[0].idempotency_key.as_deref(), Some(key.as_str()));
        let other = update(&entry, &key, "4").await;
        assert_eq!(other.code.as_deref(), Some("key_in_use"), "{other:?}");
        assert_eq!(world.plain.runs().len(), 1);
        entry.kill();
    });
}

// A retry at another entry is delegated to the issuer of the key, which returns the answer of the
// first run.
#[test]
fn update_passed_on() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let first = world.entry("entry-1", &[], "").await;
        let second = world.entry("entry-2", &[first.peer_address()], "").await;
        let key = key_of(&first).await;
        until("the entries have met", || async {
            let probe = key_of(&first).await;
            update(&second, &probe, "probe").await.whole()
        })
        .await;
        let before = world.plain.runs().len();
        let there = update(&second, &key, "3").await;
        let here = update(&first, &key, "3").await;
        assert!(there.whole() && here.whole(), "{there:?} {here:?}");
        assert_eq!(there.text, here.text);
        assert_eq!(world.plain.runs().len(), before + 1);
        assert!(metric(&second, "celeryhaven_passed_on_total") >= 1.0);
        first.kill();
        second.kill();
    });
}

// After the loss of the issuer, another entry answers "may have run" and does not run the update.
#[test]
fn update_issuer_gone() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let first = world.entry("entry-1", &[], "").await;
        let second = world.entry("entry-2", &[first.peer_address()], "").await;
        let key = key_of(&first).await;
        assert!(update(&first, &key, "3").await.whole());
        first.kill();
        let reply = update(&second, &key, "3").await;
        assert_eq!(reply.outcome, Outcome::Refused);
        assert_eq!((reply.status, reply.verdict.as_deref()), (502, Some("may_have_run")));
        assert_eq!(world.plain.runs().len(), 1);
        second.kill();
    });
}

// A retry of an update whose answer was lost gets "may have run" again and does not run.
#[test]
fn update_repeated_after_lost_answer() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let key = key_of(&entry).await;
        let lost = PlainFaults { lose_answer_after_run: 1, ..PlainFaults::default() };
        world.plain.set_faults(lost);
        let first = update(&entry, &key, "3").await;
        let second = update(&entry, &key, "3").await;
        assert_eq!(first.verdict.as_deref(), Some("may_have_run"));
        assert_eq!(second.verdict.as_deref(), Some("may_have_run"));
        assert_eq!(world.plain.runs().len(), 1);
        entry.kill();
    });
}

// An answer above the size limit is not cached: a retry gets "may have run" and does not run.
#[test]
fn update_long_answer_not_kept() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let key = key_of(&entry).await;
        let body = "\u{1}".repeat(300_000);
        assert!(update(&entry, &key, &body).await.whole());
        let second = update(&entry, &key, &body).await;
        assert_eq!(second.verdict.as_deref(), Some("may_have_run"), "{:?}", second.outcome);
        assert_eq!(world.plain.runs().len(), 1);
        entry.kill();
    });
}

// The answer cache is bounded: a retry of an evicted answer gets "may have run" and does not run.
#[test]
fn update_kept_answer_dropped() {
    smol::block_on(async {
        let world = World::new(EngineSettings::new()).await;
        let entry = world.entry("entry-1", &[], "kept_answers_bytes: 100\n").await;
        let key = key_of(&entry).await;
        let body = "x".repeat(200);
        assert!(update(&entry, &key, &body).await.whole());
        let second = update(&entry, &key, &body).await;
        assert_eq!(second.verdict.as_deref(), Some("may_have_run"), "{second:?}");
        assert_eq!(world.plain.runs().len(), 1);
        entry.kill();
    });
}
