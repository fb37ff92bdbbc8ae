//! Tests of the engine stand-in: formations, streams and faults.

mod support;

use celeryhaven_stand_ins::caller::{Ask, Caller, Outcome};
use celeryhaven_stand_ins::engine::{EngineFault, EngineFaults, EngineSettings, RunOutcome};
use serde_json::json;
use support::Group;

fn request(prompt: &str, tokens: u32) -> Ask {
    Ask::new("m", prompt, tokens).with_header("x-request-id", format!("id of {prompt}"))
}

fn fast_settings() -> EngineSettings {
    EngineSettings::new().with_decode_us(1_000)
}

fn set_faults(faults: EngineFaults) -> EngineFault {
    EngineFault::Set(faults)
}

#[test]
fn complete_before_join() {
    smol::block_on(async {
        let group = Group::new(fast_settings()).await;
        let reply = group.caller.complete(group.members[0], &request("early", 4)).await;
        assert_eq!((reply.status, reply.code.as_deref()), (503, Some("not_admitted")));
    });
}

#[test]
fn complete_whole_formation() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let streamed = group.caller.complete(group.members[0], &request("streamed", 40)).await;
        let whole = request("whole", 40).with_stream(false);
        let whole = group.caller.complete(group.members[0], &whole).await;
        assert!(streamed.whole() && whole.whole(), "{streamed:?} {whole:?}");
        let runs = group.fleet.runs().await["vm-0"].runs();
        assert_eq!(runs.len(), 2);
        assert!(runs.iter().all(|run| (run.tokens, run.outcome) == (40, RunOutcome::Finished)));
    });
}

#[test]
fn complete_three_of_four_joined() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        for rank in 0..3 {
            group.join(rank, 1).await;
        }
        group.wait_for(|report| report["weights_loaded_bytes"] == 1_000_000).await;
        let reply = group.caller.complete(group.members[0], &request("early", 4)).await;
        assert_eq!(reply.code.as_deref(), Some("not_admitted"));
    });
}

#[test]
fn complete_wrong_generation() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(7).await;
        let stale =
            request("old", 4).with_header("x-replica", "r-1").with_header("x-generation", "6");
        let reply = group.caller.complete(group.members[0], &stale).await;
        assert_eq!((reply.status, reply.code.as_deref()), (409, Some("wrong_generation")));
        assert!(group.fleet.runs().await["vm-0"].runs().is_empty());
    });
}

// The loss of a member aborts the streams of its formation. Requests are rejected until all members
// have joined again; a restart of the lost member alone is not enough.
#[test]
fn complete_member_dies() {
    smol::block_on(async {
        let mut group = Group::new(EngineSettings::new().with_decode_us(20_000)).await;
        group.join_all(1).await;
        let boots = group.status(0).await.unwrap()["formation"]["member_boots"].clone();
        let reading = request("long", 2_000);
        let reading = group.caller.complete(group.members[0], &reading);
        let stopping = async {
            group.wait_for(|report| report["tokens_generated"].as_u64() > Some(3)).await;
            group.fleet.set_fault("vm-2", EngineFault::Die).await.unwrap();
        };
        let (reply, ()) = smol::future::zip(reading, stopping).await;
        assert_eq!(reply.outcome, Outcome::Broken);
        group.fleet.set_fault("vm-2", EngineFault::Restart).await.unwrap();
        let reply = group.caller.complete(group.members[0], &request("after", 4)).await;
        assert_eq!(reply.code.as_deref(), Some("not_admitted"));
        group.join_all(2).await;
        let report = group.status(0).await.unwrap();
        assert_ne!(report["formation"]["member_boots"], boots);
        assert!(group.caller.complete(group.members[0], &request("recovered", 4)).await.whole());
    });
}

#[test]
fn complete_cut_stream() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let cut = EngineFaults { cut_streams: 1, cut_after_tokens: 5, ..EngineFaults::default() };
        group.fleet.set_fault("vm-0", set_faults(cut)).await.unwrap();
        let reply = group.caller.complete(group.members[0], &request("cut", 20)).await;
        assert_eq!(reply.outcome, Outcome::Broken);
        assert_eq!(reply.text, celeryhaven_stand_ins::engine::expected_text("cut", 0..5));
        assert!(group.caller.complete(group.members[0], &request("next", 20)).await.whole());
    });
}

#[test]
fn complete_resumed() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let url = format!("http://{}/v1/completions", group.members[0]);
        let body = json!({"prompt": "p", "max_tokens": 9, "resume_from": 6});
        let conn = trillium_client::Client::new(trillium_smol::ClientConfig::default())
            .post(url)
            .with_request_header("x-request-id", "again")
            .with_body(body.to_string());
        let answer = conn.await.unwrap().response_body().await.unwrap();
        let answer = serde_json::from_str::<serde_json::Value>(&answer).unwrap();
        let rest = celeryhaven_stand_ins::engine::expected_text("p", 6..9);
        assert_eq!(answer["choices"][0]["text"], rest);
    });
}

#[test]
fn complete_crossed_answer() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let crossed = EngineFaults { cross_answers: 1, ..EngineFaults::default() };
        group.fleet.set_fault("vm-0", set_faults(crossed)).await.unwrap();
        let reply = group.caller.complete(group.members[0], &request("mine", 4)).await;
        assert_eq!(reply.request_id.as_deref(), Some("another-id of mine"));
    });
}

#[test]
fn complete_caller_disconnected() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let caller = Caller::new("key").with_timeout(std::time::Duration::from_millis(300));
        let reply = caller.complete(group.members[0], &request("abandoned", 1_000_000)).await;
        assert_eq!(reply.outcome, Outcome::Broken);
        group.wait_for(|report| report["running"] == 0).await;
        let runs = group.fleet.runs().await["vm-0"].runs();
        assert_eq!(runs[0].outcome, RunOutcome::Cancelled);
    });
}

#[test]
fn cancel_running() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        let long = request("long", 1_000_000).with_stream(false);
        let url = format!("http://{}/cancel", group.members[0]);
        let cancelling = async {
            group.wait_for(|report| report["running"] == 1).await;
            let id = json!({"id": "id of long"});
            let first = group.caller.send("POST", &url, Some(id.clone())).await.unwrap();
            let second = group.caller.send("POST", &url, Some(id)).await.unwrap();
            (first.1["cancelled"].clone(), second.1["cancelled"].clone())
        };
        let reading = group.caller.complete(group.members[0], &long);
        let (reply, cancelled) = smol::future::zip(reading, cancelling).await;
        assert_eq!(cancelled, (json!(true), json!(false)));
        assert_eq!(reply.outcome, Outcome::Broken);
    });
}

#[test]
fn order_old_fence() {
    smol::block_on(async {
        for (settings, status) in
            [(fast_settings(), 409), (fast_settings().with_fences_ignored(), 200)]
        {
            let mut group = Group::new(settings).await;
            let drain = json!({"drain": {"replica": "r-1"}});
            assert_eq!(group.order(0, 5, drain.clone()).await.0, 200);
            assert_eq!(group.order(0, 4, drain).await.0, status);
        }
    });
}

#[test]
fn complete_draining() {
    smol::block_on(async {
        let mut group = Group::new(fast_settings()).await;
        group.join_all(1).await;
        group.order(0, 1, json!({"drain": {"replica": "r-1"}})).await;
        let reply = group.caller.complete(group.members[0], &request("late", 4)).await;
        assert_eq!(reply.code.as_deref(), Some("not_admitted"));
    });
}

#[test]
fn cache_events_bounded() {
    smol::block_on(async {
        let settings =
            EngineSettings { cache_blocks_max: 4, cache_event_lag_ms: 0, ..fast_settings() };
        let mut group = Group::new(settings).await;
        group.join_all(1).await;
        for number in 0..3 {
            let prompt = format!("{number}").repeat(600);
            let request = Ask::new("m", prompt, 2).with_header("x-request-id", format!("{number}"));
            assert!(group.caller.complete(group.members[0], &request).await.whole());
        }
        let url = format!("http://{}/cache-events?from=0", group.members[0]);
        let (_, body) = group.caller.send("GET", &url, None).await.unwrap();
        let count = |field: &str| -> usize {
            let events = body["events"].as_array().unwrap().iter();
            events.map(|event| event[field].as_array().unwrap().len()).sum()
        };
        assert_eq!((count("added"), count("removed")), (6, 2));
    });
}
