use serde_json::{Value, json};

use crate::engine::Completion;

/// The event that terminates a complete stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Formats a token as a server-sent event.
pub(crate) fn token_event(
    id: &str,
    completion: &Completion,
    index: u32,
    text: &str,
    last: bool,
) -> String {
    let finish_reason = if last { json!("length") } else { Value::Null };
    let choice = match completion.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}),
        false => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    let object = if completion.chat { "chat.completion.chunk" } else { "text_completion" };
    let event = json!({
        "id": id, "object": object, "model": completion.model, "index": index, "choices": [choice],
    });
    format!("data: {event}\n\n")
}

/// Builds the body of a non-streamed answer.
pub(crate) fn answer_body(id: &str, completion: &Completion, text: &str) -> Value {
    let choice = match completion.chat {
        true => json!({
            "index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length",
        }),
        false => json!({"index": 0, "text": text, "finish_reason": "length"}),
    };
    let object = if completion.chat { "chat.completion" } else { "text_completion" };
    let prompt_tokens = super::text::prompt_tokens(&completion.prompt);
    let usage = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion.tokens,
        "total_tokens": prompt_tokens + u64::from(completion.tokens),
    });
    json!({
        "id": id, "object": object, "model": completion.model, "choices": [choice], "usage": usage,
    })
}
