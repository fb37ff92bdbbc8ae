//! Which route a request takes, and whose key it carries.

mod route_table;

pub use route_table::{RouteKey, RouteTable};
