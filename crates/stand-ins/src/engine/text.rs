use std::ops::Range;

/// The size of a prefix cache block, in bytes of prompt text.
const BLOCK_BYTES: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the token at an index of the answer to a prompt. It is the same on every engine and run.
///
/// ```
/// use celeryhaven_stand_ins::engine::token;
/// assert_eq!(token("lots", 3), token("lots", 3));
/// assert_ne!(token("lots", 3), token("lots", 4));
/// assert_ne!(token("lots", 3), token("bins", 3));
/// ```
pub fn token(prompt: &str, index: u32) -> String {
    let hash = fnv(fnv(FNV_OFFSET, prompt.as_bytes()), &index.to_le_bytes());
    format!(" {index}:{:08x}", hash >> 32)
}

/// Returns the text of a range of tokens of the answer to a prompt.
pub fn expected_text(prompt: &str, indexes: Range<u32>) -> String {
    indexes.map(|index| token(prompt, index)).collect()
}

/// Returns the hashes of the prompt's leading blocks: FNV-1a over bytes `0..256`, `0..512` etc.
///
/// An incomplete last block has no hash.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .scan(FNV_OFFSET, |hash, block| {
            *hash = fnv(*hash, block);
            Some(*hash)
        })
        .collect()
}

/// The size of a prefix cache block, in tokens.
pub(crate) const BLOCK_TOKENS: u64 = 64;

/// Returns the number of tokens of a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len() as u64 / 4 + 1
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
