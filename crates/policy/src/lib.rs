//! Request decisions under load: admit, pick, refuse, retry, eject.
//!
//! Policies perform no I/O: the current time is an argument and randomness comes from a seed, so a
//! benchmark or simulator can drive any policy through [`RequestPolicy`].
//!
//! | module | contents |
//! |---|---|
//! | [`interface`] | events that a policy receives and decisions that it returns |
//! | [`fair`] | the production policy: fair queue, admission by deadline, sharing of targets |
//! | [`stall`] | detection of replicas whose streams have all paused or stalled |
//! | [`baseline`] | first-in-first-out policies for comparison |

pub mod baseline;
pub mod fair;
pub mod interface;
pub mod stall;

mod affinity;
mod estimate;
mod retry;
mod targets;

pub use baseline::{LeastLoaded, RoundRobin};
pub use fair::{FairPolicy, FairSettings, Sharing};
pub use interface::{
    Decision, PolicyEvent, RequestPolicy, RetryDenial, TargetKey, TargetLoad, TargetProfile, Ticket,
};
pub use retry::SharedRetryBudget;
pub use stall::{PassProfile, QuietReplica, StallDetector, quiet_seconds_max};
pub use targets::TargetSubset;
