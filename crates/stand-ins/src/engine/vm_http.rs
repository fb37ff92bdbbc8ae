use std::time::{Duration, Instant};

use celeryhaven_types::Order;
use serde_json::{Value, json};
use smol::Timer;

use crate::engine::frames::answer_body;
use crate::engine::{Completion, EngineVm, Sequence, Sink};
use crate::http::{Answer, Request, Serve, channel_body};

impl EngineVm {
    async fn complete(&self, request: &Request) -> Answer {
        let completion = match Completion::parse(&request.body) {
            Ok(completion) => completion,
            Err(error) => return Answer::bad_request(error.to_string()),
        };
        let Some(id) = request.header("x-request-id") else {
            return Answer::bad_request("missing header: send x-request-id");
        };
        if let Some(refusal) = self.refusal(request, &completion) {
            return refusal;
        }
        match completion.stream {
            true => self.stream(id, completion),
            false => self.complete_unstreamed(id, completion).await,
        }
    }

    /// Returns the reason not to admit a request, if there is one. The request has not been run.
    fn refusal(&self, request: &Request, completion: &Completion) -> Option<Answer> {
        let state = self.lock();
        let joined = state.formation.as_ref();
        let Some(joined) = joined.filter(|f| f.rank == 0 && f.ready() && !f.draining) else {
            return Some(reject(503, "not_admitted"));
        };
        let replica = request.header("x-replica");
        let generation = request.header("x-generation").and_then(|text| text.parse::<u64>().ok());
        let other_replica = replica.is_some_and(|name| name != joined.replica.as_str());
        let other_generation = generation.is_some_and(|number| number != joined.generation.get());
        if other_replica || other_generation {
            return Some(reject(409, "wrong_generation"));
        }
        let is_loaded =
            |name: &String| state.adapters.iter().any(|adapter| adapter.as_str() == name);
        if !completion.adapter.as_ref().is_none_or(is_loaded) {
            return Some(reject(404, "unknown_adapter"));
        }
        state.faults.refuse.then(|| reject(503, "not_admitted"))
    }

    fn stream(&self, id: &str, completion: Completion) -> Answer {
        let (sender, body) = channel_body();
        match self.enqueue(id, completion, Sink::Stream(sender)) {
            Err(refusal) => refusal,
            Ok(echoed_id) => Answer::new(200, body)
                .with_header("content-type", "text/event-stream")
                .with_header("x-request-id", echoed_id),
        }
    }

    async fn complete_unstreamed(&self, id: &str, completion: Completion) -> Answer {
        let (sender, answer) = async_channel::bounded(1);
        let echoed_id = match self.enqueue(id, completion.clone(), Sink::Whole(sender)) {
            Err(refusal) => return refusal,
            Ok(echoed_id) => echoed_id,
        };
        match answer.recv().await {
            Ok(text) => Answer::json(200, &answer_body(&echoed_id, &completion, &text))
                .with_header("x-request-id", echoed_id),
            Err(_) => Answer::Close,
        }
    }

    /// Queues a request and returns the request ID for its answer.
    fn enqueue(&self, id: &str, completion: Completion, sink: Sink) -> Result<String, Answer> {
        let mut sequence = Sequence::new(id, completion, sink);
        let mut state = self.lock();
        let faults = &mut state.faults;
        if faults.cross_answers > 0 {
            faults.cross_answers -= 1;
            sequence.echoed_id = format!("another-{id}");
        }
        if faults.cut_streams > 0 && sequence.completion.stream {
            faults.cut_streams -= 1;
            sequence.cut_after_tokens = Some(faults.cut_after_tokens);
        }
        let echoed_id = sequence.echoed_id.clone();
        if !state.batch.push(sequence) {
            return Err(reject(503, "not_admitted"));
        }
        drop(state);
        self.wake();
        Ok(echoed_id)
    }

    fn cancel(&self, request: &Request) -> Answer {
        let body = request.json::<Value>().unwrap_or(Value::Null);
        match body["id"].as_str() {
            None => Answer::bad_request("missing id: send the ID of the request to cancel"),
            Some(id) => {
                let cancelled = self.lock().batch.cancel(id);
                Answer::json(200, &json!({"cancelled": cancelled}))
            }
        }
    }

    async fn handle_order(&self, request: &Request) -> Answer {
        let order = match request.json::<Order>() {
            Ok(order) => order,
            Err(error) => return Answer::bad_request(error.to_string()),
        };
        let delay_ms = self.lock().faults.delay_orders_ms;
        Timer::after(Duration::from_millis(delay_ms)).await;
        match self.lock().execute_order(order, self.settings().checks_fences) {
            Ok(()) => Answer::json(200, &json!({"accepted": true})),
            Err(seen) => Answer::json(409, &json!({"error": {"code": "old_fence", "seen": seen}})),
        }
    }

    fn cache_events(&self, request: &Request) -> Answer {
        let from = request.query_number("from").unwrap_or(0);
        let (next, events) = self.lock().batch.events().published_from(from, Instant::now());
        Answer::json(200, &json!({"next": next, "events": events}))
    }

    fn transfer_kv(&self, request: &Request, import: bool) -> Answer {
        let body = request.json::<Value>().unwrap_or(Value::Null);
        let blocks = body["blocks"].as_array().into_iter().flatten();
        let blocks = blocks.filter_map(Value::as_u64).collect::<Vec<_>>();
        let mut state = self.lock();
        if import {
            state.batch.import(&blocks, Instant::now());
            return Answer::json(200, &json!({"blocks": blocks}));
        }
        Answer::json(200, &json!({"blocks": state.batch.cache().cached_blocks(&blocks)}))
    }
}

impl Serve for EngineVm {
    async fn serve(&self, request: Request) -> Answer {
        self.wait_while_frozen().await;
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/completions" | "/v1/chat/completions") => self.complete(&request).await,
            ("POST", "/cancel") => self.cancel(&request),
            ("GET", "/status") => {
                Answer::json(200, &self.lock().report(self.name(), Instant::now()))
            }
            ("GET", "/member") => Answer::json(200, &self.lock().member_view()),
            ("GET", "/cache-events") => self.cache_events(&request),
            ("POST", "/orders") => self.handle_order(&request).await,
            ("POST", "/kv/export") => self.transfer_kv(&request, false),
            ("POST", "/kv/import") => self.transfer_kv(&request, true),
            _ => Answer::json(404, &json!({"error": {"code": "unknown_path"}})),
        }
    }
}

fn reject(status: u16, code: &str) -> Answer {
    Answer::json(status, &json!({"error": {"code": code}}))
}
