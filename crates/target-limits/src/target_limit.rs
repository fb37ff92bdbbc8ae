use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::Position;

/// Least rate at which a limited target is asked, per second.
///
/// A target that takes nothing would otherwise never be asked whether it takes requests again.
const RATE_MIN_PER_S: f64 = 0.25;

/// Requests a second that each sending node has of a rate that a target names, and of that of a cold
/// target.
///
/// Each sender may have saved one request, so that in a time `t` a target gets up to the rate times
/// `t`, and one for each sender. A cold target counts its requests over a shorter time.
const SENDER_RATE_PER_S: f64 = 1.0;
const COLD_SENDER_RATE_PER_S: f64 = 2.0;

state! {
    /// The rate of a limited target.
    #[derive(Copy)]
    pub struct TargetLimit {
        /// Requests a second from all nodes together, as the target named it; `None` if it only
        /// is cold.
        pub named_rate_per_s: Option<f64>,
        /// Requests a second from all nodes together.
        pub rate_per_s: f64,
        /// Requests a second from this node; 0 if other nodes send to the target.
        pub node_rate_per_s: f64,
        /// When this node learned of the limit, or of its last change.
        pub known_since: TimeMs,
    }
}

impl TargetLimit {
    /// Returns the part of a rate that a node may use.
    ///
    /// The number of sending nodes grows with the rate: many nodes with small parts would exceed
    /// the rate when all send at the same time.
    pub fn new(
        named_rate_per_s: Option<f64>,
        cold_rate_per_s: Option<f64>,
        position: Position,
        known_since: TimeMs,
    ) -> Self {
        let lowest = |rate_per_s: f64, other: Option<f64>| {
            other.map_or(rate_per_s, |other| rate_per_s.min(other))
        };
        let rate_per_s = lowest(named_rate_per_s.unwrap_or(f64::INFINITY), cold_rate_per_s);
        let used_per_s = rate_per_s.max(RATE_MIN_PER_S);
        let sender_rate_per_s =
            cold_rate_per_s.map_or(SENDER_RATE_PER_S, |_| COLD_SENDER_RATE_PER_S);
        let senders = (used_per_s / sender_rate_per_s).ceil() as usize;
        let senders = senders.saturating_add(1).min(position.nodes.max(1));
        let node_rate_per_s = match position.rank < senders {
            true => used_per_s / senders as f64,
            false => 0.0,
        };
        Self { named_rate_per_s, rate_per_s, node_rate_per_s, known_since }
    }
}
