use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig};
use snafu::ResultExt;

use crate::endpoint::LinkLimits;
use crate::error::{LinkError, TlsSnafu};
use crate::identity::{ClientRoleVerifier, Credentials, NodeServerVerifier, Role, provider};

const ALPN: &[u8] = b"celeryhaven/1";

pub(crate) fn server_config(
    credentials: &Credentials,
    accepted: Role,
    limits: &LinkLimits,
) -> Result<ServerConfig, LinkError> {
    let verifier = ClientRoleVerifier::new(credentials.authority.clone(), accepted)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .with_client_cert_verifier(Arc::new(verifier))
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .context(TlsSnafu)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls)
        .map_err(|error| LinkError::Authority { message: error.to_string() })?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport(limits));
    Ok(config)
}

pub(crate) fn client_config(
    credentials: &Credentials,
    limits: &LinkLimits,
) -> Result<ClientConfig, LinkError> {
    let verifier = NodeServerVerifier::new(credentials.authority.clone())?;
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier))
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .context(TlsSnafu)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls)
        .map_err(|error| LinkError::Authority { message: error.to_string() })?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport(limits));
    Ok(config)
}

fn transport(limits: &LinkLimits) -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(limits.streams.into());
    transport.max_concurrent_uni_streams(limits.streams.into());
    let idle = IdleTimeout::try_from(Duration::from_millis(limits.idle_ms)).ok();
    transport.max_idle_timeout(idle);
    Arc::new(transport)
}
