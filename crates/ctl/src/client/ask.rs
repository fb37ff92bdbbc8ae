use std::net::SocketAddr;

use celeryhaven_link::{Credentials, LinkEndpoint, LinkError, LinkLimits};
use celeryhaven_settings::OperatorSettings;
use celeryhaven_types::{OperatorReply, OperatorRequest};
use snafu::ResultExt;

use crate::client::CtlError;
use crate::client::error::{CredentialsSnafu, OutcomeUnknownSnafu};

/// Sends a request to the first controller that replies.
///
/// The next controller is tried if one could not be reached. A change without a reply is not
/// resent, since the first controller may have accepted it.
pub async fn ask(
    settings: &OperatorSettings,
    request: &OperatorRequest,
) -> Result<OperatorReply, CtlError> {
    let credentials =
        Credentials::load(&settings.certificate_file, &settings.key_file, &settings.authority_file)
            .context(CredentialsSnafu)?;
    let mut tried = Vec::new();
    for controller in &settings.controllers {
        match ask_one(&credentials, *controller, request, settings.timeout_ms).await {
            Ok(reply) => return Ok(reply),
            Err(Failure::Sent(source)) if is_change(request) => {
                return Err(source).context(OutcomeUnknownSnafu);
            }
            Err(Failure::NotSent(error) | Failure::Sent(error)) => {
                tried.push(format!("{controller}: {error}"));
            }
        }
    }
    Err(CtlError::Unreachable { tried: tried.join("; ") })
}

/// Whether a failed request may have been received.
enum Failure {
    /// The controller did not receive the request.
    NotSent(LinkError),
    /// The controller may have received the request.
    Sent(LinkError),
}

async fn ask_one(
    credentials: &Credentials,
    controller: SocketAddr,
    request: &OperatorRequest,
    timeout_ms: u64,
) -> Result<OperatorReply, Failure> {
    let local: SocketAddr = match controller {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let endpoint = LinkEndpoint::client(local, credentials, LinkLimits::default())
        .map_err(Failure::NotSent)?;
    let link = endpoint.connect(controller).await.map_err(Failure::NotSent)?;
    let mut stream = link.open().await.map_err(Failure::NotSent)?;
    stream.send(request).await.map_err(Failure::Sent)?;
    stream.finish().map_err(Failure::Sent)?;
    let reply = stream.receive_within(timeout_ms).await.map_err(Failure::Sent)?;
    link.close();
    reply.ok_or_else(|| Failure::Sent(LinkError::Read { message: "no answer".into() }))
}

const fn is_change(request: &OperatorRequest) -> bool {
    matches!(
        request,
        OperatorRequest::Confirm { .. }
            | OperatorRequest::DrainVm { .. }
            | OperatorRequest::DrainNode { .. }
    )
}
