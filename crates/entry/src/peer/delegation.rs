use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_link::{FrameStream, LinkError};
use celeryhaven_node::EntryEvent;
use celeryhaven_types::Incarnation;
use slog::info;

use crate::exchange::{AnswerPart, End, Exchange};
use crate::peer::Peers;
use crate::peer::message::{AnswerFrame, DelegatedRequest};
use celeryhaven_clock::BootClock;

/// Time beyond its deadline that a delegated request may take, in milliseconds.
const DELEGATION_GRACE_MS: u64 = 500;

impl Peers {
    /// Delegates a request to the entry that issued its key, and forwards the answer.
    pub(crate) fn delegate(&self, exchange: Arc<Exchange>, to: Incarnation, address: SocketAddr) {
        let peers = self.clone();
        async_global_executor::spawn(async move {
            let answered = match peers.request_answer(&exchange, to, address).await {
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
            peers.control.send_traffic(event, Some(exchange));
        })
        .detach();
    }

    async fn request_answer(
        &self,
        exchange: &Exchange,
        to: Incarnation,
        address: SocketAddr,
    ) -> Result<End, LinkError> {
        let mut frames = self.pool.open(BootClock.now(), address).await?;
        let elapsed_ms = BootClock.now().since(exchange.arrived_at);
        let mut head = exchange.head.clone();
        head.deadline_in_ms = head.deadline_in_ms.saturating_sub(elapsed_ms);
        let limit_ms = head.deadline_in_ms + DELEGATION_GRACE_MS;
        let request = DelegatedRequest {
            to,
            organisation: head.organisation.clone(),
            key: exchange.key.clone().unwrap_or_default(),
            head,
            request: exchange.request.clone(),
        };
        frames.send(&request).await?;
        frames.finish()?;
        forward_answer(exchange, &mut frames, limit_ms).await
    }
}

async fn forward_answer(
    exchange: &Exchange,
    frames: &mut FrameStream,
    limit_ms: u64,
) -> Result<End, LinkError> {
    loop {
        match frames.receive_within::<AnswerFrame>(limit_ms).await? {
            Some(AnswerFrame::Part(AnswerPart::Head(head))) => {
                if exchange.claim_head() {
                    exchange.deliver(AnswerPart::Head(head)).await;
                }
            }
            Some(AnswerFrame::Part(part)) => exchange.deliver(part).await,
            Some(AnswerFrame::End(end)) => return Ok(end),
            None => {
                return Err(LinkError::Read {
                    message: "stream closed before the result frame".into(),
                });
            }
        }
    }
}

fn finish(exchange: &Exchange, end: End) {
    match end {
        End::Whole => exchange.finish_uncached(),
        End::Refused(refusal) => exchange.refuse(refusal),
    }
}
