//! Size of the demand in the messages between nodes, encoded as the gateway encodes them.

use std::collections::BTreeMap;

use celeryhaven_demand::{Demand, RecentDemand};
use celeryhaven_types::{ModelName, NodeName};

const MODELS: [&str; 3] = ["large-chat", "middle-chat", "small-draft"];

/// Nodes that follow a relay, and the polls of a follower a second in all feeds.
const FOLLOWERS: f64 = 20.0;
const POLLS_PER_S: f64 = 6.0;

fn demand(nodes: u32, has_recent: bool) -> Demand {
    let slots = |scale: f64| {
        MODELS.iter().enumerate().map(move |(index, name)| {
            (ModelName::new(*name), scale * (1.37 + index as f64) * f64::from(nodes))
        })
    };
    let recent: BTreeMap<ModelName, f32> =
        slots(1.1).map(|(model, slots)| (model, slots as f32)).collect();
    Demand {
        nodes,
        busy_slots: slots(1.0).collect(),
        recent: has_recent.then_some(RecentDemand { nodes, age_ms: 1_234, busy_slots: recent }),
    }
}

fn compressed(message: &impl serde::Serialize) -> f64 {
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    assert!(!bytes.is_empty(), "the message cannot be encoded");
    lz4_flex::compress_prepend_size(&bytes).len() as f64
}

/// The short-term demand must cost a node a few hundred bytes a second at most, of 6 KB/s.
#[test]
fn demand_bytes_per_s() {
    for nodes in [300, 1_000] {
        let report =
            |has_recent| compressed(&(NodeName::new("entry-1234"), demand(20, has_recent)));
        let fleet = |has_recent| compressed(&demand(nodes, has_recent));
        // All feeds bring the long-term demand; one of them reports, and brings the short-term one.
        let before = report(false) + POLLS_PER_S * fleet(false);
        let after = report(true) + (POLLS_PER_S - 1.0) * fleet(false) + fleet(true);
        let relay = FOLLOWERS * (after - before);
        println!("{nodes} nodes: report {} to {} B", report(false), report(true));
        println!("{nodes} nodes: a follower {before} to {after} B/s, a relay {relay} B/s more");
        let mean = (after - before) * 2.0;
        println!("{nodes} nodes: {mean} B/s more for each node on average, sent and received");
        assert!(mean < 300.0, "{mean} B/s");
    }
}

/// Without a short-term demand, messages must be those of the version before, and those of either
/// version must be readable by the other.
#[test]
fn demand_messages_of_both_versions() {
    type Before = (u32, BTreeMap<ModelName, f64>);
    let before: Before = (20, demand(20, false).busy_slots);
    let encoded = postcard::to_allocvec(&before).unwrap();
    assert_eq!(postcard::to_allocvec(&demand(20, false)).unwrap(), encoded);
    let new = postcard::to_allocvec(&demand(20, true)).unwrap();
    assert_eq!(postcard::from_bytes::<Before>(&new).unwrap(), before);
    // The gateway's decoder appends a zero, which stands for `None`.
    let padded = [encoded.as_slice(), &[0]].concat();
    assert_eq!(postcard::from_bytes::<Demand>(&padded).unwrap(), demand(20, false));
    assert_eq!(postcard::from_bytes::<Demand>(&new).unwrap(), demand(20, true));
}
