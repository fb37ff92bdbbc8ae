use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DecodeSnafu, EncodeSnafu, LinkError};

/// Encodes a message for [`LinkPool::send_bytes`](crate::LinkPool::send_bytes).
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, LinkError> {
    postcard::to_allocvec(message).context(EncodeSnafu)
}

/// Decodes a message received by [`Link::receive_bytes`](crate::Link::receive_bytes).
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    postcard::from_bytes(bytes).context(DecodeSnafu)
}
