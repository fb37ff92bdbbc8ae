use serde_json::Value;

/// The state of a stream of server-sent events, parsed incrementally.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: Vec<u8>,
    pub(crate) text: String,
    pub(crate) tokens: u32,
    pub(crate) done: bool,
    pub(crate) error: Option<Value>,
    /// Whether an event had another request ID or an unexpected index.
    pub(crate) foreign: bool,
}

impl EventReader {
    /// Parses received bytes. Events must carry the request ID `id`, if it is known.
    pub(crate) fn push(&mut self, bytes: &[u8], id: Option<&str>) {
        self.pending.extend_from_slice(bytes);
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.pending.drain(..end + 2).collect::<Vec<_>>();
            self.apply_event(&String::from_utf8_lossy(&event), id);
        }
    }

    fn apply_event(&mut self, event: &str, id: Option<&str>) {
        let Some(data) = event.trim_end().strip_prefix("data: ") else { return };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            self.foreign = true;
            return;
        };
        if let Some(error) = value.get("error") {
            self.error = Some(error.clone());
            return;
        }
        let choice = &value["choices"][0];
        let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        let expected_index = value["index"].as_u64() == Some(u64::from(self.tokens));
        let expected_id = id.is_none_or(|id| value["id"].as_str() == Some(id));
        self.foreign |= self.done || !expected_index || !expected_id;
        self.text.push_str(text.unwrap_or(""));
        self.tokens += 1;
    }
}
