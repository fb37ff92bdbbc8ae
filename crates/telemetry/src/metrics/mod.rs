//! Metrics of each kind of process.

mod buckets;
mod controller;
mod entry;
mod gateway;
mod labels;
mod process;

pub use controller::ControllerMetrics;
pub use entry::EntryMetrics;
pub use gateway::GatewayMetrics;
pub use labels::{
    DeploymentLabel, DirectionLabel, OutcomeLabel, ReasonLabel, RequestLabels, StoreCallLabel,
};
pub use process::ProcessMetrics;
pub use prometheus_client::metrics::gauge::Gauge;
