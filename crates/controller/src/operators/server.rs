use celeryhaven_link::{FrameStream, Identity, Link, LinkEndpoint, LinkError};
use celeryhaven_settings::check_intent;
use celeryhaven_types::{OperatorName, OperatorRefusal, OperatorReply, OperatorRequest};
use slog::{Logger, warn};

use crate::control::{Inbox, Message, OperatorMessage};

/// Timeout for a request on an opened stream, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Accepts operators' links until the endpoint is closed.
pub(crate) async fn serve(endpoint: LinkEndpoint, inbox: Inbox, log: Logger) {
    while let Some(incoming) = endpoint.accept().await {
        let (endpoint, inbox, log) = (endpoint.clone(), inbox.clone(), log.clone());
        smol::spawn(async move {
            match endpoint.handshake(incoming).await {
                Ok(link) => serve_link(link, inbox, log).await,
                Err(error) => warn!(log, "an operator's link was refused"; "error" => %error),
            }
        })
        .detach();
    }
}

async fn serve_link(link: Link, inbox: Inbox, log: Logger) {
    // The endpoint accepts operators only; the name goes into the audit record.
    let Identity::Operator(operator) = link.peer().clone() else { return };
    while let Ok(stream) = link.accept().await {
        let (operator, inbox, log) = (operator.clone(), inbox.clone(), log.clone());
        smol::spawn(async move {
            if let Err(error) = answer(stream, operator, inbox).await {
                warn!(log, "an operator's request was cut off"; "error" => %error);
            }
        })
        .detach();
    }
}

async fn answer(
    mut stream: FrameStream,
    operator: OperatorName,
    inbox: Inbox,
) -> Result<(), LinkError> {
    let Some(request) = stream.receive_within::<OperatorRequest>(REQUEST_TIMEOUT_MS).await? else {
        return Ok(());
    };
    let reply = match refusal(&request) {
        Some(refusal) => Some(OperatorReply::Refused(refusal)),
        None => ask(operator, request, &inbox).await,
    };
    if let Some(reply) = reply {
        stream.send(&reply).await?;
    }
    stream.finish()
}

/// Returns the refusal of an inconsistent intent, before it reaches the control thread.
fn refusal(request: &OperatorRequest) -> Option<OperatorRefusal> {
    let OperatorRequest::Plan { intent } = request else { return None };
    let problem = check_intent(intent).err()?;
    let problem = format!("{}: write {}", problem.path, problem.accepted);
    Some(OperatorRefusal::BadIntent { problems: vec![problem] })
}

async fn ask(
    operator: OperatorName,
    request: OperatorRequest,
    inbox: &Inbox,
) -> Option<OperatorReply> {
    let (answer, answered) = async_channel::bounded(1);
    inbox.send(Message::OperatorMessage(OperatorMessage { operator, request, answer })).ok()?;
    answered.recv().await.ok()
}
