//! The relay tree of a cluster's nodes: reports each second, lost or late as the test sets.

use celeryhaven_demand::{Demand, DemandTree, FleetDemand, RecentDemand, RecentMeter, SlotShare};
use celeryhaven_policy::PolicyEvent;
use celeryhaven_types::{ModelName, NodeName, TimeMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two reports of a node, and between two reports of offered load to the control
/// thread, in milliseconds.
const POLL_MS: u64 = 1_000;
const OFFERED_MS: u64 = 500;

/// Nodes for each relay below the root; smaller fleets have the root only.
const NODES_PER_RELAY: usize = 20;

/// Mean work of a request, in milliseconds of a slot.
const WORK_MS: f64 = 1_000.0;

/// The demand that each node measures, reports and receives.
pub struct DemandLayer {
    nodes: Vec<Node>,
    rng: SmallRng,
    /// Fraction of the reports that are lost.
    pub lost: f64,
}

struct Node {
    share: SlotShare,
    meter: RecentMeter,
    /// Requests since the last report of offered load.
    offered: u32,
    tree: DemandTree,
    parent: Option<usize>,
    next_poll_ms: u64,
    next_offered_ms: u64,
    alive: bool,
}

fn model() -> ModelName {
    ModelName::new("draft")
}

impl DemandLayer {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let relays = nodes / NODES_PER_RELAY;
        let mut node = |index: usize| Node {
            share: SlotShare::new(),
            meter: RecentMeter::new(),
            offered: 0,
            tree: DemandTree::new(),
            parent: match index {
                0 => None,
                index if index <= relays || relays <= 2 => Some(0),
                index => Some(1 + index % relays),
            },
            next_poll_ms: rng.random_range(0..POLL_MS),
            next_offered_ms: rng.random_range(0..OFFERED_MS),
            alive: true,
        };
        let nodes = (0..nodes).map(&mut node).collect();
        Self { nodes, rng, lost: 0.0 }
    }

    /// Counts a request that arrives at a node.
    pub fn arrived(&mut self, now: TimeMs, node: usize) {
        self.nodes[node].share.add(now, WORK_MS);
        self.nodes[node].offered += 1;
    }

    /// Fails nodes; the followers of a failed relay follow the root, or the next root if it failed.
    pub fn fail(&mut self, failed: &[usize]) {
        failed.iter().for_each(|&node| self.nodes[node].alive = false);
        let Some(root) = self.nodes.iter().position(|node| node.alive) else { return };
        for node in &mut self.nodes {
            if node.parent.is_some_and(|parent| failed.contains(&parent)) {
                node.parent = Some(root);
            }
        }
        self.nodes[root].parent = None;
    }

    /// Restarts a node, which forgets all it knew.
    pub fn restart(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        (state.share, state.meter, state.tree) =
            (SlotShare::new(), RecentMeter::new(), DemandTree::new());
        state.alive = true;
    }

    /// Lets the polls that are due take place.
    pub fn step(&mut self, now: TimeMs) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.alive {
                continue;
            }
            if now.get() >= node.next_offered_ms {
                node.next_offered_ms += OFFERED_MS;
                node.meter.add(now, f64::from(std::mem::take(&mut node.offered)) * WORK_MS);
            }
            let busy = node.meter.busy_slots(now) as f32;
            let busy_slots = [(model(), busy)].into();
            let recent = Some(RecentDemand { nodes: 1, age_ms: 0, busy_slots });
            node.tree.set_own(Demand { recent, ..Demand::default() });
            if now.get() < node.next_poll_ms {
                continue;
            }
            node.next_poll_ms += POLL_MS;
            if let Some(parent) = node.parent
                && self.rng.random::<f64>() >= self.lost
            {
                let reply = self.nodes[parent].tree.fleet_demand(now);
                self.nodes[index].tree.apply_fleet_demand(now, reply).unwrap_or_default();
                let report = self.nodes[index].tree.sum(now);
                let name = NodeName::new(format!("node-{index}"));
                self.nodes[parent].tree.apply_report(now, name, report).unwrap_or_default();
            }
            let node = &mut self.nodes[index];
            if let Some(fleet) = node.tree.fleet_demand(now).recent {
                let busy_slots = fleet.all_busy_slots();
                let measured_at = now.before(u64::from(fleet.age_ms));
                let total = FleetDemand { busy_slots, nodes: fleet.nodes, measured_at };
                node.share.apply_total(now, total);
            }
        }
    }

    /// Returns a node's part of the slots of its targets, of which it uses `subset` of `all`.
    pub fn fraction(
        &mut self,
        now: TimeMs,
        node: usize,
        live: u32,
        (subset, all): (usize, usize),
    ) -> Option<f64> {
        let slots = (all * super::SLOTS) as f64;
        let fraction = self.nodes[node].share.fraction(now, live, slots)?;
        Some((fraction * all as f64 / subset.max(1) as f64).min(1.0))
    }
}

/// How the slots were used in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotUse {
    /// Most requests in flight, relative to all slots.
    pub overfill: f64,
    /// Idle slots while requests were refused, relative to all slots; mean over the refusals.
    pub idle: f64,
    /// Refusals, and those while more than a twentieth of the slots was idle.
    pub refused: u32,
    pub refused_idle: u32,
}

impl super::Cluster {
    /// Creates nodes whose slots are shared by demand.
    pub fn with_demand(seed: u64, nodes: usize, replicas: u32) -> Self {
        let mut cluster = Self::with_subsets(seed, nodes, replicas);
        cluster.layer = Some(DemandLayer::new(seed, nodes));
        cluster
    }

    /// Sets the requests that arrive at each node, relative to the others.
    pub fn set_weights(&mut self, weights: Vec<f64>) {
        self.weights = weights;
    }

    /// Sets the rate so that it would keep this fraction of the slots busy.
    pub fn set_utilisation(&mut self, utilisation: f64) {
        let replicas = self.replicas.len() as f64;
        self.set_rate(utilisation / super::UTILISATION * replicas / 20.0);
    }

    /// Sets the fraction of the reports that are lost.
    pub fn set_lost(&mut self, lost: f64) {
        self.layer.iter_mut().for_each(|layer| layer.lost = lost);
    }

    /// Fails nodes; their callers go to the others. Requests that run are completed for nobody.
    pub fn fail_nodes(&mut self, failed: &[usize]) {
        self.failed.extend(failed);
        self.layer.iter_mut().for_each(|layer| layer.fail(failed));
    }

    /// Lets all nodes know which others have failed.
    pub fn list_failed(&mut self) {
        self.counted_live = self.nodes.len() - self.failed.len();
        self.choose_subsets();
    }

    pub(super) fn random_node(&mut self) -> usize {
        if self.weights.is_empty() && self.failed.is_empty() {
            return self.rng.random_range(0..self.nodes.len());
        }
        let weight = |node: usize| match self.failed.contains(&node) {
            true => 0.0,
            false => self.weights.get(node).copied().unwrap_or(1.0),
        };
        let weights: Vec<f64> = (0..self.nodes.len()).map(weight).collect();
        let mut at = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            at -= weight;
            at < 0.0
        });
        found.unwrap_or_default()
    }

    pub(super) fn count_demand(&mut self, node: usize) {
        let now = TimeMs::new(self.now_ms);
        if let Some(layer) = &mut self.layer {
            layer.arrived(now, node);
            self.send_slot_part(node);
        }
    }

    pub(super) fn report_load(&mut self, node: usize, replica: u32, requests: u32) {
        let now = TimeMs::new(self.now_ms);
        if let Some(layer) = &mut self.layer {
            let share = &mut layer.nodes[node].share;
            share.load_reported(now, u64::from(replica), requests, super::SLOTS as u32);
        }
    }

    pub(super) fn step_demand(&mut self) {
        let now = TimeMs::new(self.now_ms);
        let Some(layer) = &mut self.layer else { return };
        layer.step(now);
        if self.now_ms.is_multiple_of(25) {
            (0..self.nodes.len()).for_each(|node| self.send_slot_part(node));
        }
    }

    fn send_slot_part(&mut self, node: usize) {
        let now = TimeMs::new(self.now_ms);
        let subset = self.subsets.as_ref().map_or(0, |subsets| subsets[node].len());
        let sizes = (subset, self.replicas.len());
        let Some(layer) = &mut self.layer else { return };
        let fraction = layer.fraction(now, node, self.counted_live as u32, sizes);
        self.send_event(node, PolicyEvent::SlotPart { fraction });
    }

    pub(super) fn record_slot_use(&mut self, refused: u32) {
        let slots = (self.replicas.len() * super::SLOTS).max(1) as f64;
        let running: usize = self.replicas.values().map(|replica| replica.running.len()).sum();
        let waiting: usize = self.replicas.values().map(|replica| replica.waiting.len()).sum();
        let slot_use = &mut self.slot_use;
        slot_use.overfill = slot_use.overfill.max((running + waiting) as f64 / slots);
        if refused > 0 {
            let idle = 1.0 - running as f64 / slots;
            let all = f64::from(slot_use.refused + refused);
            slot_use.idle += (idle - slot_use.idle) * f64::from(refused) / all;
            slot_use.refused += refused;
            slot_use.refused_idle += if idle > 0.05 { refused } else { 0 };
        }
    }
}
