use std::sync::Arc;

use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, RootCertStore,
    SignatureScheme,
};
use rustls_pki_types::{CertificateDer, ServerName, UnixTime};

use crate::error::LinkError;
use crate::identity::{Identity, Role};

/// Accepts servers with a node certificate signed by the fleet's certificate authority.
///
/// Processes connect to addresses, not names, so the name is taken from the certificate itself;
/// callers that need a specific node compare [`Link::peer`](crate::Link::peer). The role check
/// prevents an operator's certificate from impersonating a node.
#[derive(Debug)]
pub(crate) struct NodeServerVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl NodeServerVerifier {
    pub(crate) fn new(roots: Arc<RootCertStore>) -> Result<Self, LinkError> {
        let inner = WebPkiServerVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|error| LinkError::Authority { message: error.to_string() })?;
        Ok(Self { inner })
    }
}

impl ServerCertVerifier for NodeServerVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let identity = require_role(end_entity, Role::Node)?;
        let name = ServerName::try_from(identity.dns_name()).map_err(|_| identity_rejected())?;
        self.inner.verify_server_cert(end_entity, intermediates, &name, ocsp_response, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}

/// Accepts clients with a certificate of one role signed by the fleet's certificate authority.
///
/// The handshake fails for certificates of the other role, so a stolen certificate does not grant
/// the permissions of the other role.
#[derive(Debug)]
pub(crate) struct ClientRoleVerifier {
    inner: Arc<dyn ClientCertVerifier>,
    role: Role,
}

impl ClientRoleVerifier {
    pub(crate) fn new(roots: Arc<RootCertStore>, role: Role) -> Result<Self, LinkError> {
        let inner = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|error| LinkError::Authority { message: error.to_string() })?;
        Ok(Self { inner, role })
    }
}

impl ClientCertVerifier for ClientRoleVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        self.inner.root_hint_subjects()
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        require_role(end_entity, self.role)?;
        self.inner.verify_client_cert(end_entity, intermediates, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}

pub(crate) fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn require_role(certificate: &CertificateDer<'_>, role: Role) -> Result<Identity, Error> {
    Identity::of_certificate(certificate)
        .ok()
        .filter(|identity| identity.role() == role)
        .ok_or_else(identity_rejected)
}

fn identity_rejected() -> Error {
    Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
}
