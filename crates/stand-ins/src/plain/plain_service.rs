use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use celeryhaven_derives::data;
use serde_json::{Value, json};
use smol::Timer;

use crate::http::{Answer, Request, Serve, unix_us};
use crate::plain::PlainFaults;

data! {
    /// A call that was run.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct PlainRun {
        /// The `x-request-id` header of the call.
        pub request_id: Option<String>,
        /// The `idempotency-key` header of the call.
        pub idempotency_key: Option<String>,
        /// When the run started, in microseconds since the Unix epoch.
        pub at_unix_us: u64,
        /// The method.
        pub method: String,
        /// The path.
        pub path: String,
        /// The body, as text.
        pub body: String,
    }
}

/// A service that records each call (`GET /runs`) and echoes it in the answer.
#[derive(Debug, Default)]
pub struct PlainService {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<PlainRun>,
    faults: PlainFaults,
}

impl PlainService {
    /// Creates a service without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all recorded calls in start order.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.lock().runs.clone()
    }

    /// Replaces the set of active faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(&self, request: Request) -> Answer {
        if consume(&mut self.lock().faults.refuse_not_run) {
            let refusal = json!({"error": {"code": "not_run"}});
            return Answer::json(503, &refusal).with_header("x-not-run", "true");
        }
        if consume(&mut self.lock().faults.reset_before_run) {
            return Answer::Close;
        }
        let slow_ms = self.lock().faults.slow_ms;
        let run = PlainRun {
            request_id: request.header("x-request-id").map(str::to_owned),
            idempotency_key: request.header("idempotency-key").map(str::to_owned),
            at_unix_us: unix_us(),
            method: request.method.clone(),
            path: request.path.clone(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        let run_number = {
            let mut state = self.lock();
            state.runs.push(run.clone());
            state.runs.len()
        };
        Timer::after(Duration::from_millis(slow_ms)).await;
        if consume(&mut self.lock().faults.lose_answer_after_run) {
            return Answer::Close;
        }
        let other_id = consume(&mut self.lock().faults.cross_answers);
        answer(&run, run_number, other_id)
    }
}

impl Serve for PlainService {
    async fn serve(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/runs") => Answer::json(200, &json!({"runs": self.runs()})),
            ("POST", "/faults") => match request.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    Answer::json(200, &faults)
                }
                Err(error) => Answer::bad_request(error.to_string()),
            },
            _ => self.call(request).await,
        }
    }
}

fn answer(run: &PlainRun, run_number: usize, other_id: bool) -> Answer {
    let body: Value =
        json!({"method": run.method, "path": run.path, "body": run.body, "run": run_number});
    let echoed = match other_id {
        true => "another-request",
        false => run.request_id.as_deref().unwrap_or(""),
    };
    Answer::json(200, &body).with_header("x-request-id", echoed)
}

fn consume(count: &mut u32) -> bool {
    let active = *count > 0;
    *count = count.saturating_sub(1);
    active
}
