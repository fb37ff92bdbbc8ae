use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest accepted message before and after decompression, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Encodes a message between nodes; returns `None` if that is not possible.
///
/// Messages are compressed because the same names occur in them many times.
pub(super) fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_allocvec(message).ok()?;
    Some(lz4_flex::compress_prepend_size(&bytes))
}

/// Decodes a message; returns `None` if it is invalid.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (size, _) = lz4_flex::block::uncompressed_size(bytes).ok()?;
    if size > MESSAGE_BYTES_MAX {
        return None;
    }
    let mut bytes = lz4_flex::decompress_size_prepended(bytes).ok()?;
    // An optional field at the end is left out if it is absent, and zero stands for `None`.
    bytes.push(0);
    postcard::from_bytes(&bytes).ok()
}
