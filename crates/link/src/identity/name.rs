use celeryhaven_derives::state;
use celeryhaven_types::{NodeName, OperatorName};
use rustls_pki_types::CertificateDer;
use snafu::{OptionExt, ResultExt};

use crate::error::{CertificateSnafu, LinkError};

const NODE_SUFFIX: &str = ".node.celeryhaven";
const OPERATOR_SUFFIX: &str = ".operator.celeryhaven";

state! {
    /// Role that determines the permissions of a process.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// A process on an entry VM.
        Node,
        /// A command run by an operator.
        Operator,
    }

    /// Identity of a process.
    #[derive(Eq, Hash)]
    pub enum Identity {
        /// A process on an entry VM.
        Node(NodeName),
        /// A command run by an operator.
        Operator(OperatorName),
    }
}

impl Identity {
    /// Returns the identity in a certificate's subject alternative names.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be parsed, names no process, or names more than one process.
    pub fn of_certificate(certificate: &CertificateDer<'_>) -> Result<Self, LinkError> {
        let parsed = webpki::EndEntityCert::try_from(certificate).context(CertificateSnafu)?;
        let mut identities = parsed.valid_dns_names().filter_map(Self::of_dns_name);
        let identity = identities.next().context(crate::error::NoIdentitySnafu)?;
        match identities.next() {
            None => Ok(identity),
            Some(_) => Err(LinkError::NoIdentity),
        }
    }

    /// Parses the identity from a DNS name of a certificate.
    ///
    /// ```
    /// use celeryhaven_link::{Identity, Role};
    /// let identity = Identity::of_dns_name("entry-1.node.celeryhaven").unwrap();
    /// assert_eq!(identity.role(), Role::Node);
    /// assert_eq!(Identity::of_dns_name("*.node.celeryhaven"), None);
    /// ```
    pub fn of_dns_name(name: &str) -> Option<Self> {
        let label = |suffix: &str| name.strip_suffix(suffix).filter(|label| is_label(label));
        let node = label(NODE_SUFFIX).map(|label| Self::Node(NodeName::new(label)));
        node.or_else(|| label(OPERATOR_SUFFIX).map(|l| Self::Operator(OperatorName::new(l))))
    }

    /// Returns the DNS name for certificates.
    pub fn dns_name(&self) -> String {
        match self {
            Self::Node(name) => format!("{name}{NODE_SUFFIX}"),
            Self::Operator(name) => format!("{name}{OPERATOR_SUFFIX}"),
        }
    }

    /// Returns the role.
    pub fn role(&self) -> Role {
        match self {
            Self::Node(_) => Role::Node,
            Self::Operator(_) => Role::Operator,
        }
    }
}

fn is_label(label: &str) -> bool {
    !label.is_empty() && label.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
}
