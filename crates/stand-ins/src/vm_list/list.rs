use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use celeryhaven_derives::data;
use celeryhaven_types::VmEntry;
use serde_json::json;
use smol::Timer;

use crate::http::{Answer, Request, Serve};

data! {
    /// The list in its JSON form.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct VmLines {
        /// The entries of the list.
        pub vms: Vec<VmEntry>,
    }

    /// Faults of the VM list, set by `POST /faults`. Omitted fields are off.
    #[derive(Copy, Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct VmListFaults {
        /// Closes the connection of every call.
        pub outage: bool,
        /// A delay added to every answer, in milliseconds.
        pub delay_ms: u64,
    }
}

/// A replaceable list (`PUT /vms`). `GET /vms` returns it with a delay.
#[derive(Debug)]
pub struct VmList {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    visible: VmLines,
    pending: VecDeque<(Instant, VmLines)>,
    faults: VmListFaults,
}

impl VmList {
    /// Creates a list with initial entries. Later changes become visible after `lag_ms`.
    pub fn new(lag_ms: u64, vms: Vec<VmEntry>) -> Self {
        let state = State { visible: VmLines { vms }, ..State::default() };
        Self { lag: Duration::from_millis(lag_ms), state: Mutex::new(state) }
    }

    /// Replaces the list. The change becomes visible after the delay.
    pub fn set(&self, list: VmLines) {
        let visible_at = Instant::now() + self.lag;
        self.lock().pending.push_back((visible_at, list));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn visible(&self) -> VmLines {
        let mut state = self.lock();
        let now = Instant::now();
        while state.pending.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            if let Some((_, list)) = state.pending.pop_front() {
                state.visible = list;
            }
        }
        state.visible.clone()
    }

    /// Returns the latest list without the delay, for tests that change single entries.
    fn newest(&self) -> VmLines {
        let state = self.lock();
        state.pending.back().map_or_else(|| state.visible.clone(), |(_, list)| list.clone())
    }
}

impl Serve for VmList {
    async fn serve(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/vms") => {
                let faults = self.lock().faults;
                Timer::after(Duration::from_millis(faults.delay_ms)).await;
                if faults.outage {
                    return Answer::Close;
                }
                Answer::json(200, &self.visible())
            }
            ("GET", "/newest") => Answer::json(200, &self.newest()),
            ("PUT", "/vms") => match request.json() {
                Ok(list) => {
                    self.set(list);
                    Answer::json(200, &json!({}))
                }
                Err(error) => Answer::bad_request(error.to_string()),
            },
            ("POST", "/faults") => match request.json() {
                Ok(faults) => {
                    self.lock().faults = faults;
                    Answer::json(200, &faults)
                }
                Err(error) => Answer::bad_request(error.to_string()),
            },
            _ => Answer::json(404, &json!({"error": {"code": "unknown_path"}})),
        }
    }
}
