use std::path::Path;
use std::sync::Arc;

use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use snafu::ResultExt;

use crate::error::{LinkError, PemSnafu, TlsSnafu};
use crate::identity::Identity;

/// Certificate chain and private key of a process, and the certificate authority of the fleet.
#[derive(Debug)]
pub struct Credentials {
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
    pub(crate) authority: Arc<RootCertStore>,
    identity: Identity,
}

impl Credentials {
    /// Loads credentials from PEM files.
    pub fn load(certificate: &Path, key: &Path, authority: &Path) -> Result<Self, LinkError> {
        let chain = certificates(certificate)?;
        let key =
            PrivateKeyDer::from_pem_file(key).context(PemSnafu { file: display_path(key) })?;
        Self::new(chain, key, certificates(authority)?)
    }

    /// Creates credentials from parsed certificates and a key.
    pub fn new(
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        authority: Vec<CertificateDer<'static>>,
    ) -> Result<Self, LinkError> {
        let identity =
            chain.first().map_or(Err(LinkError::NoIdentity), Identity::of_certificate)?;
        let mut roots = RootCertStore::empty();
        authority.into_iter().try_for_each(|root| roots.add(root)).context(TlsSnafu)?;
        Ok(Self { chain, key, authority: Arc::new(roots), identity })
    }

    /// Returns the identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .context(PemSnafu { file: display_path(file) })
}

fn display_path(file: &Path) -> String {
    file.display().to_string()
}
