use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_link::{FrameStream, LinkError};
use celeryhaven_node::EntryEvent;
use celeryhaven_types::Incarnation;
use slog::info;

use crate::exchange::{AnswerPart, End, Exchange};
use crate::peer::Peers;
use crate::peer::message::{AnswerFrame, PassedOn};
use celeryhaven_clock::BootClock;

/// How much longer than its deadline a request may take at the other entry, in milliseconds.
const GRACE_MS: u64 = 500;

impl Peers {
    /// Passes a request on to the entry that alone may run its key, and hands its answer on.
    pub(crate) fn pass_on(&self, exchange: Arc<Exchange>, to: Incarnation, address: SocketAddr) {
        let peers = self.clone();
        async_global_executor::spawn(async move {
            let answered = match peers.converse(&exchange, to, address).await {
                Ok(end) => {
                    finish(&exchange, end);
                    true
                }
                Err(error) => {
                    let id = exchange.request.id.as_str();
                    info!(peers.log, "passing on failed";
                        "request_id" => id, "error" => error.to_string());
                    false
                }
            };
            let event = EntryEvent::DelegationCompleted { ticket: exchange.ticket(), answered };
            peers.control.traffic(event, Some(exchange));
        })
        .detach();
    }

    async fn converse(
        &self,
        exchange: &Exchange,
        to: Incarnation,
        address: SocketAddr,
    ) -> Result<End, LinkError> {
        let mut frames = self.pool.open(BootClock.now(), address).await?;
        let passed = BootClock.now().since(exchange.arrived_at);
        let mut head = exchange.head.clone();
        head.deadline_in_ms = head.deadline_in_ms.saturating_sub(passed);
        let limit_ms = head.deadline_in_ms + GRACE_MS;
        let request = PassedOn {
            to,
            organisation: head.organisation.clone(),
            key: exchange.key.clone().unwrap_or_default(),
            head,
            request: exchange.request.clone(),
        };
        frames.send(&request).await?;
        frames.finish()?;
        hand_on(exchange, &mut frames, limit_ms).await
    }
}

async fn hand_on(
    exchange: &Exchange,
    frames: &mut FrameStream,
    limit_ms: u64,
) -> Result<End, LinkError> {
    loop {
        match frames.receive_within::<AnswerFrame>(limit_ms).await? {
            Some(AnswerFrame::Part(AnswerPart::Head(head))) => {
                if exchange.take_head_turn() {
                    exchange.deliver(AnswerPart::Head(head)).await;
                }
            }
            Some(AnswerFrame::Part(part)) => exchange.deliver(part).await,
            Some(AnswerFrame::End(end)) => return Ok(end),
            None => return Err(LinkError::Read { message: "ended without an end".into() }),
        }
    }
}

fn finish(exchange: &Exchange, end: End) {
    match end {
        End::Whole => exchange.finish_unkept(),
        End::Refused(refusal) => exchange.refuse(refusal),
    }
}
