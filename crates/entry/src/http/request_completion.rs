use std::sync::Arc;

use celeryhaven_telemetry::{RequestLabels, RequestRecord};
use celeryhaven_types::{OrganisationName, Refusal, RefusalCode, ReplicaName, Verdict};

use crate::exchange::Exchange;
use crate::http::HttpContext;
use crate::http::refusal::code_text;
use crate::http::respond::notify_disconnected;
use celeryhaven_clock::BootClock;

/// Counts and logs the result of one request, exactly once.
///
/// If dropped before completion, because the caller disconnected, notifies the control thread, so
/// that a queued or running request is cancelled.
pub(crate) struct RequestCompletion {
    context: HttpContext,
    exchange: Arc<Exchange>,
    replica: Option<ReplicaName>,
    completed: bool,
}

impl RequestCompletion {
    pub(crate) fn new(context: HttpContext, exchange: Arc<Exchange>) -> Self {
        context.metrics.in_flight.inc();
        Self { context, exchange, replica: None, completed: false }
    }

    pub(crate) fn with_replica(mut self, replica: Option<ReplicaName>) -> Self {
        self.replica = replica;
        self
    }

    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Completes a request whose answer was sent.
    pub(crate) fn answered(mut self, delivered: u64) {
        self.complete(Verdict::Answered, None, delivered);
    }

    /// Completes a request that ended with a refusal.
    pub(crate) fn refused(mut self, refusal: Refusal) {
        self.complete(refusal.verdict, Some(refusal.code), 0);
    }

    /// Completes a request whose caller disconnected.
    pub(crate) fn disconnected(self) {}

    fn complete(&mut self, verdict: Verdict, code: Option<RefusalCode>, delivered: u64) {
        self.completed = true;
        let head = &self.exchange.head;
        let code = code.map(code_text);
        let took_ms = BootClock.now().since(self.exchange.arrived_at);
        self.context.metrics.answer_time.observe(took_ms as f64 / 1_000.0);
        self.context.count(Some(&head.organisation), verdict, code.as_deref().unwrap_or(""));
        let record = RequestRecord {
            request_id: self.exchange.request.id.clone(),
            organisation: Some(head.organisation.clone()),
            replica: self.replica.clone(),
            verdict,
            code,
            took_ms,
            delivered,
        };
        record.write(&self.context.log);
    }
}

impl Drop for RequestCompletion {
    fn drop(&mut self) {
        self.context.metrics.in_flight.dec();
        if !self.completed {
            notify_disconnected(&self.context, &self.exchange);
            let verdict = match self.exchange.was_dispatched() {
                true => Verdict::MayHaveRun,
                false => Verdict::NotRun,
            };
            self.complete(verdict, Some(RefusalCode::CallerGone), 0);
        }
    }
}

impl HttpContext {
    /// Counts a completed request.
    pub(crate) fn count(
        &self,
        organisation: Option<&OrganisationName>,
        verdict: Verdict,
        code: &str,
    ) {
        let labels = RequestLabels {
            organisation: organisation.map_or_else(String::new, ToString::to_string),
            verdict: verdict.as_str(),
            code: code.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
    }
}
