use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use celeryhaven_derives::data;
use serde_json::json;
use smol::Timer;

use crate::http::{Answer, Request, Serve};

data! {
    /// A read of a piece of weights (`POST /read`), answered when its transfer time has passed.
    #[derive(Copy, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct WeightsRead {
        /// The length of the piece, in bytes.
        pub bytes: u64,
    }
}

/// A simulated link with a fixed rate that serves reads in order. No data is transferred.
#[derive(Debug)]
pub struct WeightsStore {
    bytes_per_s: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    free_at: Instant,
    bytes_read: u64,
    reads: u64,
}

impl WeightsStore {
    /// Creates a store with a total rate in bytes per second.
    pub fn new(bytes_per_s: u64) -> Self {
        let state = State { free_at: Instant::now(), bytes_read: 0, reads: 0 };
        Self { bytes_per_s: bytes_per_s.max(1), state: Mutex::new(state) }
    }

    /// Schedules a read and returns its completion time.
    pub fn schedule_read(&self, bytes: u64, now: Instant) -> Instant {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let start = state.free_at.max(now);
        state.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        state.bytes_read += bytes;
        state.reads += 1;
        state.free_at
    }

    fn counters(&self) -> Answer {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        Answer::json(200, &json!({"reads": state.reads, "bytes_read": state.bytes_read}))
    }
}

impl Serve for WeightsStore {
    async fn serve(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/counters") => self.counters(),
            ("POST", "/read") => match request.json::<WeightsRead>() {
                Ok(read) => {
                    Timer::at(self.schedule_read(read.bytes, Instant::now())).await;
                    Answer::json(200, &read)
                }
                Err(error) => Answer::bad_request(error.to_string()),
            },
            _ => Answer::json(404, &json!({"error": {"code": "unknown_path"}})),
        }
    }
}
