//! Outcomes of requests.

mod request_table;

pub use request_table::{RequestRow, RequestTable};
