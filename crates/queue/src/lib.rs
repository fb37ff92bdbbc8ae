//! Fair queue by organisation, worth and deadline, without I/O.
//!
//! - [`FairQueue`]: weighted fair queue; each flow is served in order of latest start.
//! - [`TieredQueue`]: fair queues in strict order of their tiers.
//! - [`QueueEntry`]: the cost, deadline, priority and worth of an entry.
//! - [`FlowKey`]: identifies a flow, such as an organisation.
//! - [`QueueFull`]: returned if the queue has reached its limit.
//!
//! Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
//!
//! The example `flood` shows how two organisations share the service:
//! `cargo run -p celeryhaven-queue --example flood`.

mod error;
mod fair_queue;
mod flow;
mod queue_entry;
mod tiered_queue;

pub use error::QueueFull;
pub use fair_queue::FairQueue;
pub use flow::FlowKey;
pub use queue_entry::QueueEntry;
pub use tiered_queue::TieredQueue;
