use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Unit;

use crate::metrics::{DeploymentLabel, OutcomeLabel, ProcessMetrics};

/// Metrics of a controller process.
#[derive(Clone, Debug)]
pub struct ControllerMetrics {
    /// Metrics of every process.
    pub process: ProcessMetrics,
    /// Time that wanted replicas were not whole and serving, by deployment.
    pub group_downtime: Family<DeploymentLabel, Counter<f64, AtomicU64>>,
    /// Accelerators that are held but do not serve, by deployment.
    pub stranded_accelerators: Family<DeploymentLabel, Gauge>,
    /// Replicas that are whole and serving, by deployment.
    pub whole_replicas: Family<DeploymentLabel, Gauge>,
    /// Leases held by this controller.
    pub leases_held: Gauge,
    /// Orders sent to members, by kind and outcome.
    pub orders: Family<OutcomeLabel, Counter>,
}

impl ControllerMetrics {
    /// Registers the metrics of a controller.
    pub fn new() -> Self {
        let group_downtime = Family::default();
        let stranded_accelerators = Family::default();
        let whole_replicas = Family::default();
        let leases_held = Gauge::default();
        let orders = Family::default();
        let process = ProcessMetrics::new(|registry| {
            registry.register_with_unit(
                "group_downtime",
                "Time that wanted replicas were not serving whole",
                Unit::Seconds,
                group_downtime.clone(),
            );
            registry.register(
                "stranded_accelerators",
                "Accelerators held without useful serving",
                stranded_accelerators.clone(),
            );
            registry.register(
                "whole_replicas",
                "Replicas that serve whole",
                whole_replicas.clone(),
            );
            registry.register("leases_held", "Leases held now", leases_held.clone());
            registry.register("orders", "Orders sent to members", orders.clone());
        });
        Self { process, group_downtime, stranded_accelerators, whole_replicas, leases_held, orders }
    }
}

impl Default for ControllerMetrics {
    fn default() -> Self {
        Self::new()
    }
}
