use celeryhaven_types::{RequestClass, RequestHead};

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns a hash of the request content, identical on every node (FNV-1a, 64 bits).
///
/// Covers class, lengths and the prompt's block hashes.
pub(crate) fn fingerprint(head: &RequestHead) -> u64 {
    let name = match &head.class {
        RequestClass::Completion { model, .. } => model.as_str(),
        RequestClass::Plain { service } => service.as_str(),
    };
    let numbers = [u64::from(head.prompt_tokens), u64::from(head.output_tokens_max)];
    let numbers = numbers.iter().chain(&head.prefix_hashes).flat_map(|number| number.to_be_bytes());
    name.bytes()
        .chain([0])
        .chain(numbers)
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
