use std::time::Duration;

use celeryhaven_fleet::Route;
use celeryhaven_graceful_stop::{GracefulStop, PendingRequest};
use celeryhaven_types::{Refusal, RefusalCode, TimeMs};
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::http::NOT_READY_RETRY_AFTER_MS;
use crate::traffic::{CallerRequest, Dispatcher, Exchange};

/// What changes while the node stops.
impl<A: Adapter> Dispatcher<A> {
    /// Begins to stop, and gives all callers a final answer before the process exits.
    pub(crate) fn stop(&self, stop: GracefulStop) {
        self.state.borrow_mut().stopping = Some(stop);
        let (exit, left_ms) = (self.exit.clone(), stop.final_answers_at().since(self.now()));
        let announce = async move {
            Timer::after(Duration::from_millis(left_ms)).await;
            exit.stop();
        };
        self.executor.spawn(announce).detach();
    }

    /// Whether the node has been told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.state.borrow().stopping.is_some()
    }

    /// Whether a request of a route can be expected to end before the process does.
    ///
    /// `length` is the number of output tokens that its caller allows.
    pub(crate) fn may_begin(
        &self,
        (route, length): (&Route, u32),
        (received_at, deadline): (TimeMs, TimeMs),
        request_id: &str,
    ) -> bool {
        let (now, state) = (self.now(), self.state.borrow());
        let Some(stop) = state.stopping else { return true };
        let expected_ms = state.answer_times.expected_ms(&route.name, length);
        let may_repeat = route.kind.may_repeat();
        let request = PendingRequest { received_at, deadline, expected_ms, may_repeat };
        let may_begin = stop.may_begin(now, &request);
        if !may_begin {
            info!(self.log, "request not begun"; "request_id" => request_id,
                "route" => &route.name, "why" => "node stops", "expected_ms" => expected_ms,
                "limit_ms" => deadline.since(now), "left_ms" => stop.left_ms(now));
        }
        may_begin
    }

    /// Returns how long answers of a route and length take, in milliseconds, if any are known.
    pub(crate) fn answer_ms(&self, route: &Route, length: u32) -> Option<u64> {
        self.state.borrow().answer_times.expected_ms(&route.name, length)
    }

    /// Records how long a complete answer has taken since its request was sent.
    pub(crate) fn record_answer_time(&self, request: &CallerRequest, sent_at: TimeMs) {
        let (length, took_ms) = (request.caller.output_tokens_max, self.now().since(sent_at));
        self.state.borrow_mut().answer_times.record(&request.route.name, length, took_ms);
    }
}

impl<A: Adapter> Exchange<A> {
    /// Returns the refusal if an attempt could not be expected to end before the process does.
    ///
    /// An answer that has begun goes on for as long as it can.
    pub(super) fn stop_refusal(&self) -> Option<Refusal> {
        let Self { dispatcher, request, sink, .. } = self;
        let times = (request.arrived_at, request.deadline);
        let route = (&request.route, request.caller.output_tokens_max);
        if sink.is_begun() || dispatcher.may_begin(route, times, request.id()) {
            return None;
        }
        let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
        Some(refusal.with_retry_after_ms(NOT_READY_RETRY_AFTER_MS))
    }
}
