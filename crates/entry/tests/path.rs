//! The path of a request from a caller through an entry to targets.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use celeryhaven_stand_ins::caller::{Ask, Caller, PlainCall};
use celeryhaven_stand_ins::engine::EngineSettings;
use support::{BLENDERS_KEY, COOP_KEY, World};

fn quick() -> EngineSettings {
    EngineSettings::new().with_decode_us(2_000)
}

#[test]
fn complete_streamed_and_whole() {
    smol::block_on(async {
        let world = World::new(quick()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let caller = Caller::new(COOP_KEY);
        let streamed = caller.complete(entry.http_address(), &Ask::new("draft", "one", 40)).await;
        assert!(streamed.whole(), "{streamed:?}");
        let ask = Ask::new("draft", "two", 40).with_stream(false);
        let whole = caller.complete(entry.http_address(), &ask).await;
        assert!(whole.whole(), "{whole:?}");
        assert_eq!(whole.verdict.as_deref(), Some("answered"));
        let other = Caller::new(BLENDERS_KEY);
        let streamed = other.complete(entry.http_address(), &Ask::new("draft", "three", 5)).await;
        assert!(streamed.whole(), "{streamed:?}");
        entry.kill();
    });
}

#[test]
fn call_plain_service() {
    smol::block_on(async {
        let world = World::new(quick()).await;
        let entry = world.entry("entry-1", &[], "").await;
        let caller = Caller::new(COOP_KEY);
        let call = PlainCall::new("GET", "/services/portal/lots/7");
        let reply = caller.call(entry.http_address(), &call).await;
        assert!(reply.whole(), "{reply:?}");
        let call = PlainCall::new("POST", "/services/portal/lots/7").with_body("{\"kg\":3}");
        let reply = caller.call(entry.http_address(), &call).await;
        assert!(reply.whole(), "{reply:?}");
        // Above the size up to which an answer is buffered whole.
        let body = "\u{1}".repeat(1_400_000);
        let call = PlainCall::new("POST", "/services/portal/lots/8").with_body(body);
        let reply = caller.call(entry.http_address(), &call).await;
        assert!(reply.whole(), "{:?}", reply.outcome);
        assert_eq!(world.plain.runs().len(), 3);
        entry.kill();
    });
}
