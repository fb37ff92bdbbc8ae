//! The operators' configuration.

mod configuration;
mod engine;
mod limits;
mod route;

pub use configuration::{Configuration, KeyHolder, Service};
pub use engine::{EngineProfile, ModelProfile};
pub use limits::CallerLimits;
pub use route::{Route, RouteKind, ServiceShare};
