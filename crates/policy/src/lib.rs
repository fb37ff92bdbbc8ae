//! Request decisions under load: admit, pick, refuse, retry, eject.
//!
//! Everything here runs without I/O: time comes in as an argument and randomness from a seed, so
//! any bench can drive a policy through [`RequestPolicy`].
//!
//! | module | what it holds |
//! |---|---|
//! | [`interface`] | the events a policy hears and the decisions it gives |
//! | [`fair`] | the policy in use: fair queue, admission by deadline, sharing of targets |
//! | [`standstill`] | replicas whose streams stand still together |
//! | [`baseline`] | first-in-first-out policies that it is measured against |

pub mod baseline;
pub mod fair;
pub mod interface;
pub mod standstill;

mod affinity;
mod estimate;
mod retry;
mod targets;

pub use baseline::{LeastLoaded, RoundRobin};
pub use fair::{FairPolicy, FairSettings, Sharing};
pub use interface::{
    Decision, PolicyEvent, RequestPolicy, TargetKey, TargetLoad, TargetProfile, Ticket,
};
pub use standstill::StandstillWatch;
pub use targets::TargetSubset;
