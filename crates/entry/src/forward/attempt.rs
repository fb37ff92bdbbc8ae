use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use celeryhaven_fair_io::FairConnector;
use celeryhaven_node::{Attempt, AttemptEvent, EntryEvent};
use celeryhaven_types::RequestId;
use smol::Timer;
use smol::future::FutureExt;
use trillium_client::Client;

use crate::exchange::Exchange;
use crate::forward::conversation::{Conversation, Outcome};
use crate::forward::forwarder::{Forwarder, Target};
use crate::forward::on_sent::OnSent;
use crate::forward::send_gate::{Progress, SendGate};

/// How long a target may take to acknowledge a cancel order.
///
/// The attempt is reported only afterwards, so that the order cannot cancel a newer attempt of the
/// same request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes one attempt and reports its result to the control thread.
pub(crate) async fn run_attempt(
    forwarder: Forwarder,
    exchange: Arc<Exchange>,
    attempt: Attempt,
    target: Target,
    cancelled: Receiver<()>,
) {
    let reporter = Reporter { forwarder: forwarder.clone(), exchange: exchange.clone(), attempt };
    let gate = Arc::new(SendGate::new(target.send_before, reporter.clone()));
    let conversation = Conversation::new(&forwarder, &exchange, &target, &gate, &reporter);
    let stopped = async {
        let _ = cancelled.recv().await;
        Outcome::Stopped
    };
    let outcome = conversation.run().or(stopped).await;
    if !gate.is_whole() {
        gate.stop();
    }
    if outcome == Outcome::Stopped && target.replica.is_some() && gate.progress() == Progress::Sent
    {
        cancel_at(target.address, &exchange.request.id).await;
    }
    if outcome != Outcome::Whole {
        reporter.report(attempt_event(outcome, gate.progress()));
    }
}

/// Returns the event of an incomplete attempt, given whether a byte may have been sent.
fn attempt_event(outcome: Outcome, progress: Progress) -> AttemptEvent {
    match (outcome, progress) {
        (Outcome::Refused, _) => AttemptEvent::Refused,
        (_, Progress::Sent) => AttemptEvent::Failed,
        (_, Progress::Unsent) => AttemptEvent::ConnectFailed,
        (Outcome::Stopped, Progress::Stopped) | (_, Progress::Expired) => AttemptEvent::Expired,
        (_, Progress::Stopped) => AttemptEvent::ConnectFailed,
    }
}

/// Orders a target to cancel a request whose connection is already closed.
async fn cancel_at(address: SocketAddr, id: &RequestId) {
    let client = Client::new(FairConnector::new()).without_keepalive();
    let body = serde_json::json!({"id": id.as_str()}).to_string();
    let order = async {
        let _ = client.post(format!("http://{address}/cancel")).with_body(body).await;
    };
    let timeout = async {
        Timer::after(CANCEL_TIMEOUT).await;
    };
    order.or(timeout).await;
}

/// Reports the events of one attempt to the control thread.
#[derive(Clone)]
pub(crate) struct Reporter {
    forwarder: Forwarder,
    exchange: Arc<Exchange>,
    attempt: Attempt,
}

impl Reporter {
    pub(crate) fn report(&self, event: AttemptEvent) {
        let ticket = self.exchange.ticket();
        let event = EntryEvent::Attempt { ticket, attempt: self.attempt, event };
        self.forwarder.control.send_traffic(event, Some(self.exchange.clone()));
    }
}

impl OnSent for Reporter {
    fn on_sent(&self) {
        self.report(AttemptEvent::Sent);
    }
}
