//! One entry of each data centre reports the configuration in force there.

mod common;

use celeryhaven_node::{
    EntryAction, EntryEvent, EntryNode, EntrySettings, Machine, PeerEntry, PeerMessage,
};
use celeryhaven_types::store::{
    Object, ObjectKey, ObjectVersion, StoreCallId, StoreReply, StoreRequest,
};
use celeryhaven_types::{
    Boot, ConfigNumber, DataCentreName, DataCentreStatus, Incarnation, NodeName, TimeMs,
};
use common::{LeastLoaded, config};

const KEY: &str = "status/dc-0";

fn settings(name: &str, port: u16) -> EntrySettings {
    let address = format!("10.0.0.1:{port}").parse().expect("an address");
    let incarnation = Incarnation::new(NodeName::new(name), Boot::new(1));
    EntrySettings::new(incarnation, DataCentreName::new("dc-0"), address, address)
}

fn listed(prefix: &str) -> StoreReply {
    let value = serde_json::to_string(&config(&[])).expect("a configuration").into();
    let (key, version) = (ObjectKey::new("config/current"), ObjectVersion::new(1));
    let objects = if prefix == "config/" { vec![Object { key, version, value }] } else { vec![] };
    StoreReply::Listed { version: ObjectVersion::new(1), objects }
}

/// Ticks a node until `until_ms`; returns its reads of the status object.
fn run(node: &mut EntryNode<LeastLoaded>, until_ms: u64) -> Vec<StoreCallId> {
    let mut calls = Vec::new();
    for now in (1_000..=until_ms).step_by(100).map(TimeMs::new) {
        let mut actions = Vec::new();
        node.handle(now, EntryEvent::Tick, &mut actions);
        answer_lists(node, now, &actions);
        calls.extend(status_reads(&actions));
    }
    calls
}

/// Returns the reads of the status object.
fn status_reads(actions: &[EntryAction]) -> Vec<StoreCallId> {
    let status_reads = actions.iter().filter_map(|action| match action {
        EntryAction::Store { call, request: StoreRequest::Get { key } } => {
            (key.as_str() == KEY).then_some(*call)
        }
        _ => None,
    });
    status_reads.collect()
}

fn answer_lists(node: &mut EntryNode<LeastLoaded>, now: TimeMs, actions: &[EntryAction]) {
    for action in actions {
        if let EntryAction::Store { call, request: StoreRequest::List { prefix } } = action {
            let event = EntryEvent::Store { call: *call, reply: listed(prefix.as_str()) };
            node.handle(now, event, &mut Vec::new());
        }
    }
}

/// Returns what the node writes when the object does not exist.
fn written(node: &mut EntryNode<LeastLoaded>, call: StoreCallId, now_ms: u64) -> DataCentreStatus {
    let mut actions = Vec::new();
    let reply = EntryEvent::Store { call, reply: StoreReply::Missing };
    node.handle(TimeMs::new(now_ms), reply, &mut actions);
    let created = actions.into_iter().find_map(|action| match action {
        EntryAction::Store { request: StoreRequest::Create { key, value }, .. } => {
            assert_eq!(key.as_str(), KEY);
            Some(value)
        }
        _ => None,
    });
    serde_json::from_str(&created.expect("a write")).expect("a status")
}

#[test]
fn status_written_by_the_only_entry() {
    let mut own = settings("entry-0", 1);
    own.unix_at_clock_zero_ms = 1_000_000;
    let mut node = EntryNode::new(own, LeastLoaded::default(), [1; 32]);
    let calls = run(&mut node, 7_000);
    assert_eq!(calls.len(), 1, "one read while its reply is pending: {calls:?}");
    let status = written(&mut node, calls[0], 7_001);
    assert_eq!(status.config_number, ConfigNumber::new(1));
    assert_eq!(status.entries_alive, 1);
    assert_eq!(status.at_unix_ms, 1_007_001);
}

// The latest configuration must not be reported while one of two entries is behind.
#[test]
fn status_counts_the_entry_that_is_behind() {
    let reported = ["entry-0", "entry-1"].map(status_beside_one_behind);
    let reported: Vec<_> = reported.into_iter().flatten().collect();
    assert_eq!(reported, [ConfigNumber::default()], "exactly one of the two entries must report");
}

/// Returns the configuration reported next to an entry that is behind, if any.
fn status_beside_one_behind(name: &str) -> Option<ConfigNumber> {
    let other = if name == "entry-0" { "entry-1" } else { "entry-0" };
    let peer = PeerEntry {
        node: NodeName::new(other),
        boot: None,
        data_centre: DataCentreName::new("dc-0"),
        peer_address: "10.0.0.1:2".parse().expect("an address"),
    };
    let own = settings(name, 1).with_peers(vec![peer]);
    let mut node = EntryNode::new(own, LeastLoaded::default(), [1; 32]);
    let mut behind = EntryNode::new(settings(other, 2), LeastLoaded::default(), [2; 32]);
    for now in (1_000..=7_000).step_by(20).map(TimeMs::new) {
        let (mut actions, mut answers) = (Vec::new(), Vec::new());
        node.handle(now, EntryEvent::Tick, &mut actions);
        answer_lists(&mut node, now, &actions);
        if let Some(call) = status_reads(&actions).first() {
            assert_eq!(node.config_number(), Some(ConfigNumber::new(1)));
            return Some(written(&mut node, *call, now.get()).config_number);
        }
        behind.handle(now, EntryEvent::Tick, &mut answers);
        pass_on(&actions, &mut behind, name, now, &mut answers, is_membership);
        pass_on(&answers, &mut node, other, now, &mut Vec::new(), |_| true);
    }
    None
}

fn is_membership(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Membership(_))
}

/// Delivers the messages among another node's actions.
fn pass_on(
    actions: &[EntryAction],
    to: &mut EntryNode<LeastLoaded>,
    from: &str,
    now: TimeMs,
    out: &mut Vec<EntryAction>,
    passes: impl Fn(&PeerMessage) -> bool,
) {
    for action in actions {
        let EntryAction::SendPeer { message, .. } = action else { continue };
        if passes(message) {
            let (from, message) = (NodeName::new(from), message.clone());
            to.handle(now, EntryEvent::Peer { from, message }, out);
        }
    }
}
