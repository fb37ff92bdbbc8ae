//! Keys in one process: issue, run, wait, replay, refuse, claim.

use celeryhaven_once::{KeyedRequest, Once, OnceAction, OnceCall, OnceSettings};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{
    Boot, Incarnation, NodeName, OrganisationName, Refusal, RefusalCode, TimeMs, Verdict,
};

type Actions = Vec<OnceAction<u64>>;

const DEADLINE_MS: u64 = 60_000;

struct Guard {
    once: Once<u64>,
    organisation: OrganisationName,
}

impl Guard {
    fn new(boot: u64) -> Self {
        Self::with_settings(boot, OnceSettings::default())
    }

    fn with_settings(boot: u64, settings: OnceSettings) -> Self {
        let incarnation = Incarnation::new(NodeName::new("entry-1"), Boot::new(boot));
        let once = Once::new(incarnation, settings, [7; 32]);
        Self { once, organisation: OrganisationName::new("attics") }
    }

    fn issue(&mut self, now: u64) -> String {
        self.once.issue(TimeMs::new(now), &self.organisation, 1)[0].to_string()
    }

    fn present(&mut self, now: u64, ticket: u64, key: &str) -> Actions {
        self.present_with(now, ticket, key, false)
    }

    fn present_with(&mut self, now: u64, ticket: u64, key: &str, delegated: bool) -> Actions {
        let mut out = Vec::new();
        let request = KeyedRequest {
            ticket,
            organisation: &self.organisation,
            key,
            fingerprint: 1,
            deadline_at: TimeMs::new(now + DEADLINE_MS),
            delegated,
        };
        self.once.present(TimeMs::new(now), request, &mut out);
        out
    }

    fn record_refusal(&mut self, ticket: u64, refusal: Refusal) -> Actions {
        let mut out = Vec::new();
        self.once.record_refusal(ticket, refusal, &mut out);
        out
    }

    fn record_answer(&mut self, now: u64, ticket: u64) -> Actions {
        let mut out = Vec::new();
        self.once.record_answer(TimeMs::new(now), ticket, &mut out);
        out
    }

    fn reply(&mut self, now: u64, call: OnceCall, reply: StoreReply) -> Actions {
        let mut out = Vec::new();
        self.once.apply_store_reply(TimeMs::new(now), call, &reply, &mut out);
        out
    }

    fn tick(&mut self, now: u64) -> Actions {
        let mut out = Vec::new();
        self.once.tick(TimeMs::new(now), &mut out);
        out
    }
}

fn store_call(actions: &Actions) -> (OnceCall, StoreRequest) {
    match actions.as_slice() {
        [OnceAction::Store { call, request }] => (*call, request.clone()),
        other => panic!("expected one store call, got {other:?}"),
    }
}

fn claim_object(actions: &Actions) -> Object {
    match store_call(actions).1 {
        StoreRequest::Create { key, value } => {
            Object { key, version: ObjectVersion::new(9), value }
        }
        other => panic!("expected a create, got {other:?}"),
    }
}

fn only_refusal(actions: &Actions) -> Refusal {
    match actions.as_slice() {
        [OnceAction::Refuse { refusal, .. }] => *refusal,
        other => panic!("expected one refusal, got {other:?}"),
    }
}

#[test]
fn present_issued_runs_once() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    assert_eq!(guard.present(0, 1, &key), vec![OnceAction::Run { ticket: 1 }]);
    assert_eq!(guard.present(5, 2, &key), vec![]);
    assert_eq!(guard.record_answer(9, 1), vec![OnceAction::Replay { ticket: 2, of: 1 }]);
    assert_eq!(guard.present(10, 3, &key), vec![OnceAction::Replay { ticket: 3, of: 1 }]);
}

#[test]
fn present_after_not_run_runs() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.record_refusal(1, Refusal::not_run(RefusalCode::Overloaded));
    assert_eq!(guard.present(1, 2, &key), vec![OnceAction::Run { ticket: 2 }]);
}

#[test]
fn present_after_may_have_run_is_spent() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.present(0, 2, &key);
    let lost = Refusal::may_have_run(RefusalCode::AnswerLost);
    assert_eq!(
        guard.record_refusal(1, lost),
        vec![OnceAction::Refuse { ticket: 2, refusal: lost }]
    );
    assert_eq!(only_refusal(&guard.present(1, 3, &key)), lost);
}

#[test]
fn refused_by_own_deadline_promotes_waiter() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.present(0, 2, &key);
    let late = Refusal::not_run(RefusalCode::DeadlineUnreachable);
    assert_eq!(guard.record_refusal(1, late), vec![OnceAction::Run { ticket: 2 }]);
    assert_eq!(guard.record_answer(1, 2), vec![]);
}

#[test]
fn tick_waiter_deadline_may_have_run() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.present(0, 2, &key);
    assert_eq!(guard.tick(DEADLINE_MS - 1), vec![]);
    assert_eq!(only_refusal(&guard.tick(DEADLINE_MS)).verdict, Verdict::MayHaveRun);
}

#[test]
fn present_answer_dropped_is_spent() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.record_answer(1, 1);
    assert_eq!(guard.tick(120_001), vec![OnceAction::DropAnswer { ticket: 1 }]);
    assert_eq!(only_refusal(&guard.present(120_002, 2, &key)).verdict, Verdict::MayHaveRun);
}

#[test]
fn present_expired_key_may_have_run() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    guard.present(0, 1, &key);
    guard.record_answer(1, 1);
    guard.tick(600_000);
    let refusal = only_refusal(&guard.present(600_001, 2, &key));
    assert_eq!(refusal, Refusal::may_have_run(RefusalCode::UnknownKey));
    assert!(guard.once.is_empty(), "an expired key is still recorded");
}

#[test]
fn present_forged_or_foreign_not_run() {
    let mut guard = Guard::new(1);
    let key = guard.issue(0);
    let forged = key.replace(&key[key.len() - 2..], if key.ends_with("00") { "11" } else { "00" });
    let unknown = Refusal::not_run(RefusalCode::UnknownKey);
    assert_eq!(only_refusal(&guard.present(0, 1, &forged)), unknown);
    guard.organisation = OrganisationName::new("teas");
    assert_eq!(only_refusal(&guard.present(0, 2, &key)), unknown);
    assert_eq!(only_refusal(&guard.present(0, 3, "chk1.damaged")), unknown);
}

#[test]
fn present_other_incarnation_delegated_once() {
    let key = Guard::new(1).issue(0);
    let mut restarted = Guard::new(2);
    let issuer = Incarnation::new(NodeName::new("entry-1"), Boot::new(1));
    let delegate = vec![OnceAction::Delegate { ticket: 1, to: issuer }];
    assert_eq!(restarted.present(0, 1, &key), delegate);
    let gone = Refusal::may_have_run(RefusalCode::IssuerGone);
    assert_eq!(only_refusal(&restarted.present_with(0, 2, &key, true)), gone);
}

#[test]
fn issue_bounded() {
    let settings = OnceSettings { keys_max: 40, ..OnceSettings::default() };
    let mut guard = Guard::with_settings(1, settings);
    let first = guard.once.issue(TimeMs::new(0), &guard.organisation, 100);
    assert_eq!(first.len(), 10, "an organisation gets at most a quarter of the keys");
    let other = OrganisationName::new("teas");
    assert_eq!(guard.once.issue(TimeMs::new(0), &other, 100).len(), 10);
    assert!(guard.once.issue(TimeMs::new(1), &guard.organisation, 1).is_empty());
    assert_eq!(guard.once.issue(TimeMs::new(600_000), &other, 4).len(), 4);
}

#[test]
fn claim_written_runs() {
    let mut guard = Guard::new(1);
    let actions = guard.present(0, 1, "quote-17");
    let call = store_call(&actions).0;
    let written = StoreReply::Written { version: ObjectVersion::new(9) };
    assert_eq!(guard.reply(3, call, written), vec![OnceAction::Run { ticket: 1 }]);
    assert_eq!(guard.present(4, 2, "quote-17"), vec![], "the second request waits for the first");
}

#[test]
fn claim_answer_lost_read_back() {
    // The create takes effect but its reply is lost. The request must not run before the claim has
    // been read back and recognised by its id.
    let mut guard = Guard::new(1);
    let actions = guard.present(0, 1, "quote-17");
    let object = claim_object(&actions);
    assert_eq!(guard.reply(3, store_call(&actions).0, StoreReply::Unknown), vec![]);
    let read = guard.tick(53);
    let (call, request) = store_call(&read);
    assert_eq!(request, StoreRequest::Get { key: object.key.clone() });
    let run = vec![OnceAction::Run { ticket: 1 }];
    assert_eq!(guard.reply(56, call, StoreReply::Found(object)), run);
}

#[test]
fn claim_of_other_delegated() {
    let object = claim_object(&Guard::new(1).present(0, 1, "quote-17"));
    let mut other = Guard::new(2);
    let create = store_call(&other.present(0, 5, "quote-17")).0;
    let read = store_call(&other.reply(1, create, StoreReply::Conflict)).0;
    let owner = Incarnation::new(NodeName::new("entry-1"), Boot::new(1));
    let delegate = vec![OnceAction::Delegate { ticket: 5, to: owner.clone() }];
    assert_eq!(other.reply(2, read, StoreReply::Found(object)), delegate);
    let again = vec![OnceAction::Delegate { ticket: 6, to: owner }];
    assert_eq!(
        other.present(3, 6, "quote-17"),
        again,
        "the known owner is used without a store call"
    );
}

#[test]
fn claim_of_unknown_id_is_spent() {
    // A claim of this process with an unknown id may belong to an earlier run of the key.
    let mut guard = Guard::new(1);
    let create = store_call(&guard.present(0, 1, "quote-17")).0;
    let read = store_call(&guard.reply(1, create, StoreReply::Conflict)).0;
    let object = Object {
        key: ObjectKey::new("once/attics/x"),
        version: ObjectVersion::new(1),
        value: r#"{"owner":{"node":"entry-1","boot":1},"claim_id":77}"#.into(),
    };
    let refusal = only_refusal(&guard.reply(2, read, StoreReply::Found(object)));
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn claim_outage_refused() {
    let mut guard = Guard::new(1);
    let mut actions = guard.present(0, 1, "quote-17");
    for now in 1..2_000 {
        if !actions.is_empty() {
            let call = store_call(&actions).0;
            actions = guard.reply(now, call, StoreReply::Unknown);
        }
        actions.extend(guard.tick(now));
    }
    let refusal = only_refusal(&guard.tick(2_000));
    assert_eq!(refusal.code, RefusalCode::ClaimUnavailable);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn claim_written_after_timeout_stays_usable() {
    // The create of a request that timed out takes effect late. A retry must recognise the claim by
    // its id and run; otherwise the key could never run.
    let mut guard = Guard::new(1);
    let actions = guard.present(0, 1, "quote-17");
    let object = claim_object(&actions);
    guard.tick(2_000);
    guard.reply(2_100, store_call(&actions).0, StoreReply::Unknown);
    let retry = guard.present(3_000, 2, "quote-17");
    let read = guard.reply(3_001, store_call(&retry).0, StoreReply::Conflict);
    let run = vec![OnceAction::Run { ticket: 2 }];
    assert_eq!(guard.reply(3_002, store_call(&read).0, StoreReply::Found(object)), run);
}

#[test]
fn claim_rate_bounded() {
    let settings = OnceSettings { claims_per_s: 3, ..OnceSettings::default() };
    let mut guard = Guard::with_settings(1, settings);
    let started = (0..10).filter(|ticket| {
        let actions = guard.present(0, *ticket, &format!("quote-{ticket}"));
        matches!(actions.as_slice(), [OnceAction::Store { .. }])
    });
    assert_eq!(started.count(), 3);
    let later = guard.present(334, 20, "quote-20");
    assert!(matches!(later.as_slice(), [OnceAction::Store { .. }]));
}

#[test]
fn claim_deleted_after_lifetime() {
    let settings = OnceSettings { claim_life_ms: 1_000, ..OnceSettings::default() };
    let mut guard = Guard::with_settings(1, settings);
    let actions = guard.present(0, 1, "quote-17");
    let key = claim_object(&actions).key;
    let version = ObjectVersion::new(9);
    guard.reply(3, store_call(&actions).0, StoreReply::Written { version });
    let deletes_while_running: Actions = (4..1_100).flat_map(|now| guard.tick(now)).collect();
    assert_eq!(deletes_while_running, vec![], "the claim of a running key was deleted");
    guard.record_answer(1_100, 1);
    let after_answer: Actions = (1_101..4_200).flat_map(|now| guard.tick(now)).collect();
    assert!(after_answer.contains(&OnceAction::DropAnswer { ticket: 1 }));
    let deletes = after_answer.iter().filter(|action| {
        matches!(action, OnceAction::Store { request: StoreRequest::Delete { key: k, version: v }, .. }
            if *k == key && *v == version)
    });
    assert_eq!(deletes.count(), 1);
}

#[test]
fn sweep_deletes_orphans_only() {
    // A claim is deleted only after this process has listed it for the orphan lifetime; newer claims
    // stay, and a node without organisations to sweep lists nothing.
    let settings = OnceSettings { claim_life_ms: 3_000, ..OnceSettings::default() };
    let settings = OnceSettings { sweep_interval_ms: 10, ..settings };
    let mut guard = Guard::with_settings(1, settings);
    assert_eq!(guard.tick(10), vec![]);
    guard.once.set_swept_organisations(&[OrganisationName::new("attics")]);
    let object = |version| Object {
        key: ObjectKey::new(format!("once/attics/0{version}")),
        version: ObjectVersion::new(version),
        value: "{}".into(),
    };
    let mut deleted = Vec::new();
    for now in (10..20_000).step_by(10) {
        for action in guard.tick(now) {
            let (call, request) = store_call(&vec![action]);
            let StoreRequest::List { prefix } = request else { panic!("expected only lists") };
            let listed = if now < 10_000 { vec![object(5)] } else { vec![object(5), object(900)] };
            let objects = if prefix.as_str().ends_with("/0") { listed } else { Vec::new() };
            let version = ObjectVersion::new(if now < 10_000 { 10 } else { 1_000 });
            for action in guard.reply(now, call, StoreReply::Listed { version, objects }) {
                deleted.push((now, store_call(&vec![action]).1));
            }
        }
    }
    let first = deleted.first().expect("no orphan was deleted").0;
    assert!(
        (6_000..8_000).contains(&first),
        "deleted at {first} ms, not after twice the claim lifetime"
    );
    let new = object(900).key;
    let early = deleted.iter().find(|(now, request)| {
        *now < 16_000 && matches!(request, StoreRequest::Delete { key, .. } if *key == new)
    });
    assert_eq!(early, None);
}
