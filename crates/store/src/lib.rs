//! Client of the platform's Object API.
//!
//! [`StoreClient`] executes a [`StoreRequest`](celeryhaven_types::store::StoreRequest) and returns
//! a [`StoreReply`](celeryhaven_types::store::StoreReply). It never retries: only its caller knows
//! whether a retry is safe.
//!
//! | module | what it holds |
//! |---|---|
//! | `client` | the client: connections, timeouts, paging |
//! | [`codec`] | encoding of calls and decoding of replies |
//!
//! [`VmList`] is the platform's list of VMs, of which odd entries are left out.
//!
//! `examples/read_back.rs` reads an object back after the reply to a write was lost:
//! `cargo run -p celeryhaven-store --example read_back`.

mod client;
pub mod codec;
mod json_text;
mod vm_list;

pub use client::StoreClient;
pub use codec::{DecodedReply, EncodedCall, Freshness, ObjectApiCodec, StoreCodec};
pub use vm_list::{IgnoredVm, VmList};
