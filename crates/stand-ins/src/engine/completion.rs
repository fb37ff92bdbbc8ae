use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

/// The default of `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// An error in a completion request.
#[derive(Debug, Snafu)]
pub enum CompletionError {
    /// The body is not valid JSON for a completion request.
    #[snafu(display("invalid completion request: {source}"))]
    Json {
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The request has neither a prompt nor messages.
    #[snafu(display("completion request has neither a prompt nor messages"))]
    NoPrompt,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The name of the model.
    pub model: String,
    /// The name of the adapter.
    pub adapter: Option<String>,
    /// The prompt, or the contents of all messages, joined by newlines.
    pub prompt: String,
    /// Whether the request uses the chat format.
    pub chat: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The number of tokens to generate.
    pub tokens: u32,
    /// The index of the first token to generate, as the caller has the earlier ones.
    pub resume_from: u32,
    /// The priority; higher values are served first.
    pub priority: u8,
}

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    model: String,
    adapter: Option<String>,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    priority: u8,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

impl Completion {
    /// Parses a request body.
    pub fn parse(body: &[u8]) -> Result<Self, CompletionError> {
        let body = serde_json::from_slice::<Body>(body).context(JsonSnafu)?;
        let chat = body.messages.is_some();
        let contents = |messages: Vec<Message>| {
            messages.into_iter().map(|message| message.content).collect::<Vec<_>>().join("\n")
        };
        let prompt = body.messages.map(contents).or(body.prompt).context(NoPromptSnafu)?;
        Ok(Self {
            model: body.model,
            adapter: body.adapter,
            prompt,
            chat,
            stream: body.stream,
            tokens: body.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1),
            resume_from: body.resume_from,
            priority: body.priority,
        })
    }
}
