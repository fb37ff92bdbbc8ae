use celeryhaven_link::{FrameStream, LinkError};
use celeryhaven_types::{Incarnation, Refusal, RefusalCode};

use crate::exchange::{End, Exchange};
use crate::http::{HttpContext, notify_disconnected, submit};
use crate::peer::message::{AnswerFrame, DelegatedRequest};
use celeryhaven_clock::BootClock;

/// Serves a request delegated by another entry like one of this entry, and sends the answer back.
pub(crate) async fn serve_delegated(
    context: HttpContext,
    own: Incarnation,
    mut frames: FrameStream,
) {
    if let Ok(Some(request)) = frames.receive::<DelegatedRequest>().await {
        let _ = run(&context, &own, request, &mut frames).await;
    }
}

async fn run(
    context: &HttpContext,
    own: &Incarnation,
    delegated: DelegatedRequest,
    frames: &mut FrameStream,
) -> Result<(), LinkError> {
    if delegated.to != *own || delegated.organisation != delegated.head.organisation {
        // The requested incarnation no longer exists, so whether it ran the request is unknown.
        let refusal = Refusal::may_have_run(RefusalCode::IssuerGone);
        frames.send(&AnswerFrame::End(End::Refused(refusal))).await?;
        return frames.finish();
    }
    let DelegatedRequest { key, mut head, mut request, .. } = delegated;
    let id = context.next_request_id();
    head.id = id.clone();
    request.id = id;
    let registry = context.registry.clone();
    let (exchange, parts) = Exchange::new(registry, BootClock.now(), request, head, Some(key));
    submit(context, &exchange, true);
    let sending = async {
        while let Ok(part) = parts.recv().await {
            frames.send(&AnswerFrame::Part(part)).await?;
        }
        let lost = End::Refused(Refusal::may_have_run(RefusalCode::AnswerLost));
        frames.send(&AnswerFrame::End(exchange.end().unwrap_or(lost))).await?;
        frames.finish()
    };
    let sent = sending.await;
    if sent.is_err() {
        notify_disconnected(context, &exchange);
    }
    sent
}
