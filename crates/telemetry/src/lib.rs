//! Logs and metrics.
//!
//! | module | what it holds |
//! |---|---|
//! | [`log`] | JSON logs, one line for each event, with fixed field names |
//! | [`metrics`] | metrics of each kind of process, in the Prometheus text format |

pub mod log;
pub mod metrics;

pub use log::{LogGuard, RequestRecord, open_log};
pub use metrics::{
    ControllerMetrics, EntryMetrics, GatewayMetrics, ModelLabel, ProcessMetrics, RequestLabels,
};
