//! Encoding of calls and decoding of replies: the trait, and its implementation for the Object API.

mod object_api;
mod reply_body;
mod request;
mod store_codec;

pub use object_api::ObjectApiCodec;
pub use store_codec::{DecodedReply, EncodedCall, Freshness, StoreCodec};
