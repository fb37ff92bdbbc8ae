use std::io;

use async_channel::Sender;

use crate::engine::frames::{DONE, token_event};
use crate::engine::text::{BLOCK_TOKENS, prompt_tokens};
use crate::engine::{Completion, prefix_hashes, token};
use crate::http::BodySender;

/// Where the tokens of a request go.
#[derive(Debug)]
pub enum Sink {
    /// To a stream, each as it is made.
    Stream(BodySender),
    /// To a whole answer, at the end.
    Whole(Sender<String>),
}

/// One request inside an engine.
#[derive(Debug)]
pub struct Sequence {
    /// The identity it came with.
    pub id: String,
    /// The identity that its answer carries; another one's under a fault.
    pub echoed_id: String,
    /// What is asked.
    pub completion: Completion,
    /// Break the stream after so many tokens.
    pub cut_after_tokens: Option<u32>,
    pub(crate) blocks: Vec<u64>,
    pub(crate) prefill_tokens_left: u64,
    pub(crate) next_index: u32,
    pub(crate) run: Option<usize>,
    pub(crate) failed: bool,
    sink: Sink,
    text: String,
}

impl Sequence {
    /// A request that has not begun.
    pub fn new(id: impl Into<String>, completion: Completion, sink: Sink) -> Self {
        let id = id.into();
        Self {
            echoed_id: id.clone(),
            id,
            blocks: prefix_hashes(&completion.prompt),
            prefill_tokens_left: prompt_tokens(&completion.prompt),
            next_index: completion.resume_from.min(completion.tokens),
            run: None,
            failed: false,
            cut_after_tokens: None,
            completion,
            sink,
            text: String::new(),
        }
    }

    /// Whether its caller has gone away.
    pub fn abandoned(&self) -> bool {
        match &self.sink {
            Sink::Stream(sender) => sender.is_closed(),
            Sink::Whole(sender) => sender.is_closed(),
        }
    }

    /// Whether every token has been made.
    pub fn complete(&self) -> bool {
        self.next_index >= self.completion.tokens
    }

    /// Tokens made here.
    pub fn made(&self) -> u32 {
        self.next_index - self.completion.resume_from.min(self.completion.tokens)
    }

    /// Tokens it holds in the KV cache.
    pub(crate) fn kv_tokens(&self) -> u64 {
        prompt_tokens(&self.completion.prompt) + u64::from(self.next_index)
    }

    /// Leaves out the prefill of blocks that are cached.
    pub(crate) fn skip_cached(&mut self, blocks: usize) {
        let cached = blocks as u64 * BLOCK_TOKENS;
        self.prefill_tokens_left = self.prefill_tokens_left.saturating_sub(cached).max(1);
    }

    /// Makes the next token; `false` if its stream is to break here.
    pub(crate) fn make_token(&mut self) -> bool {
        if self.cut_after_tokens.is_some_and(|tokens| self.made() >= tokens) {
            self.fail();
            return false;
        }
        let text = token(&self.completion.prompt, self.next_index);
        let index = self.next_index;
        self.next_index += 1;
        let last = self.complete();
        match &self.sink {
            Sink::Stream(sender) => {
                let event = token_event(&self.echoed_id, &self.completion, index, &text, last);
                let _ = sender.try_send(Ok(event.into_bytes()));
            }
            Sink::Whole(_) => self.text.push_str(&text),
        }
        true
    }

    /// Sends the end of the whole answer.
    pub(crate) fn finish(&mut self) {
        match &self.sink {
            Sink::Stream(sender) => {
                let _ = sender.try_send(Ok(DONE.as_bytes().to_vec()));
            }
            Sink::Whole(sender) => {
                let _ = sender.try_send(std::mem::take(&mut self.text));
            }
        }
    }

    /// Breaks the answer.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
        if let Sink::Stream(sender) = &self.sink {
            let broken = io::Error::new(io::ErrorKind::ConnectionReset, "the formation broke");
            let _ = sender.try_send(Err(broken));
        }
    }
}
