use std::sync::Arc;

use celeryhaven_telemetry::{RequestLabels, RequestRecord};
use celeryhaven_types::{OrganisationName, Refusal, RefusalCode, ReplicaName, Verdict};

use crate::exchange::Exchange;
use crate::http::HttpContext;
use crate::http::refusal::code_text;
use crate::http::respond::tell_gone;
use celeryhaven_clock::BootClock;

/// The end of one request as the caller saw it: counted and logged once, whatever happens.
///
/// A handler that is dropped in the middle, because its caller went away, tells the control thread
/// by dropping this, so a queued or running request never outlives its caller unnoticed.
pub(crate) struct Settlement {
    context: HttpContext,
    exchange: Arc<Exchange>,
    replica: Option<ReplicaName>,
    settled: bool,
}

impl Settlement {
    pub(crate) fn new(context: HttpContext, exchange: Arc<Exchange>) -> Self {
        context.metrics.in_flight.inc();
        Self { context, exchange, replica: None, settled: false }
    }

    pub(crate) fn with_replica(mut self, replica: Option<ReplicaName>) -> Self {
        self.replica = replica;
        self
    }

    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// The caller has the whole answer.
    pub(crate) fn answered(mut self, delivered: u64) {
        self.settle(Verdict::Answered, None, delivered);
    }

    /// The caller has a refusal, or a stream that ended with one.
    pub(crate) fn refused(mut self, refusal: Refusal) {
        self.settle(refusal.verdict, Some(refusal.code), 0);
    }

    /// The caller has gone.
    pub(crate) fn caller_gone(self) {}

    fn settle(&mut self, verdict: Verdict, code: Option<RefusalCode>, delivered: u64) {
        self.settled = true;
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

impl Drop for Settlement {
    fn drop(&mut self) {
        self.context.metrics.in_flight.dec();
        if !self.settled {
            tell_gone(&self.context, &self.exchange);
            let verdict = match self.exchange.was_dispatched() {
                true => Verdict::MayHaveRun,
                false => Verdict::NotRun,
            };
            self.settle(verdict, Some(RefusalCode::CallerGone), 0);
        }
    }
}

impl HttpContext {
    /// Counts a request that ended.
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
