use celeryhaven_types::{AdapterName, ModelName, RequestClass};
use serde::Deserialize;

/// Size of a block of an engine's prefix cache, in bytes of prompt text.
const BLOCK_BYTES: usize = 256;
/// Maximum output tokens if the caller does not set `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;
/// Estimated size of a token, in bytes of text.
const BYTES_PER_TOKEN: usize = 4;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The fields of a completion request that an entry reads.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    model: String,
    adapter: Option<String>,
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl Completion {
    /// Parses a body; the error says what to send instead.
    pub(crate) fn parse(body: &[u8], chat: bool) -> Result<Self, String> {
        let parsed: Self = serde_json::from_slice(body)
            .map_err(|error| format!("send a completion request as JSON: {error}"))?;
        match (chat, &parsed.prompt, &parsed.messages) {
            _ if parsed.model.is_empty() => Err("send a `model` that is not empty".into()),
            (true, _, None) => Err("send `messages`".into()),
            (false, None, _) => Err("send a `prompt`".into()),
            _ => Ok(parsed),
        }
    }

    pub(crate) fn class(&self) -> RequestClass {
        RequestClass::Completion {
            model: ModelName::new(self.model.as_str()),
            adapter: self.adapter.as_deref().map(AdapterName::new),
        }
    }

    pub(crate) fn output_tokens_max(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1)
    }

    /// Returns the prompt as engines build it: the contents of all messages joined by newlines.
    pub(crate) fn prompt(&self) -> String {
        let contents = |messages: &Vec<ChatMessage>| {
            messages.iter().map(|message| message.content.as_str()).collect::<Vec<_>>().join("\n")
        };
        self.messages.as_ref().map(contents).or_else(|| self.prompt.clone()).unwrap_or_default()
    }
}

/// Estimates the number of tokens in a text of this size.
pub(crate) fn token_estimate(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Returns the hashes of the prompt's leading blocks, as in the cache events of engines.
pub(crate) fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .scan(FNV_OFFSET, |hash, block| {
            *hash = fnv(*hash, block);
            Some(*hash)
        })
        .collect()
}

/// Returns the hash of a text.
pub(crate) fn hash_of(text: &[u8]) -> u64 {
    fnv(FNV_OFFSET, text)
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
