use celeryhaven_link::{FrameStream, LinkError};
use celeryhaven_types::{Incarnation, Refusal, RefusalCode};

use crate::exchange::{End, Exchange};
use crate::http::{HttpContext, submit, tell_gone};
use crate::peer::message::{AnswerFrame, PassedOn};
use celeryhaven_clock::BootClock;

/// Runs a request that another entry passed on, as if it had arrived here, and sends the answer
/// back.
pub(crate) async fn answer_passed_on(
    context: HttpContext,
    own: Incarnation,
    mut frames: FrameStream,
) {
    if let Ok(Some(request)) = frames.receive::<PassedOn>().await {
        let _ = run(&context, &own, request, &mut frames).await;
    }
}

async fn run(
    context: &HttpContext,
    own: &Incarnation,
    passed: PassedOn,
    frames: &mut FrameStream,
) -> Result<(), LinkError> {
    if passed.to != *own || passed.organisation != passed.head.organisation {
        // The incarnation that it was meant for is gone: whether it ran there nobody can tell.
        let refusal = Refusal::may_have_run(RefusalCode::IssuerGone);
        frames.send(&AnswerFrame::End(End::Refused(refusal))).await?;
        return frames.finish();
    }
    let PassedOn { key, mut head, mut request, .. } = passed;
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
        tell_gone(context, &exchange);
    }
    sent
}
