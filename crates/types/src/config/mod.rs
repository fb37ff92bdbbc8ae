//! Intent declared by operators, and the configuration in force.

mod accepted;
mod deployment;
mod intent;
mod objective;
mod organisation;
mod service;

pub use accepted::{Config, ConfigNumber};
pub use deployment::{Deployment, FencingMode};
pub use intent::Intent;
pub use objective::Objective;
pub use organisation::{Organisation, Priority};
pub use service::{PlainService, PlainTarget};
