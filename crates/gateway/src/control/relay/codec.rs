use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest message that is taken from another node, before it is decompressed and after.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The bytes of a message between nodes; `None` if it cannot be encoded.
///
/// Compressed: what relays pass on is mostly the same few names again and again.
pub(super) fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_allocvec(message).ok()?;
    Some(lz4_flex::compress_prepend_size(&bytes))
}

/// The message that some bytes hold; `None` if they hold none.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (size, _) = lz4_flex::block::uncompressed_size(bytes).ok()?;
    if size > MESSAGE_BYTES_MAX {
        return None;
    }
    let bytes = lz4_flex::decompress_size_prepended(bytes).ok()?;
    postcard::from_bytes(&bytes).ok()
}
