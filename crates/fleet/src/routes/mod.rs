//! Lookup of routes and API keys.

mod route_table;

pub use route_table::{RouteKey, RouteTable};
