//! The client of the store: connections, timeouts and paging.

mod reply;
mod store_client;

pub use store_client::StoreClient;
