//! Certificates and endpoints for link tests.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;

use celeryhaven_link::{Credentials, LinkEndpoint, LinkLimits, Role};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls_pki_types::PrivateKeyDer;

/// Certificate authority of one test.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new([]).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Self(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    pub fn issue(&self, names: &[&str]) -> Credentials {
        let key = KeyPair::generate().unwrap();
        let names: Vec<String> = names.iter().map(ToString::to_string).collect();
        let certificate = CertificateParams::new(names).unwrap().signed_by(&key, &self.0).unwrap();
        let private = PrivateKeyDer::try_from(key.serialize_der()).unwrap();
        Credentials::new(vec![certificate.der().clone()], private, vec![self.0.der().clone()])
            .unwrap()
    }

    pub fn node(&self, name: &str) -> Credentials {
        self.issue(&[&format!("{name}.node.celeryhaven")])
    }

    pub fn operator(&self, name: &str) -> Credentials {
        self.issue(&[&format!("{name}.operator.celeryhaven")])
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn server(credentials: &Credentials, accepted: Role, limits: LinkLimits) -> LinkEndpoint {
    LinkEndpoint::bind(loopback(), credentials, accepted, limits).unwrap()
}

pub fn client(credentials: &Credentials, limits: LinkLimits) -> LinkEndpoint {
    LinkEndpoint::client(loopback(), credentials, limits).unwrap()
}

/// Returns both ends of a link between two nodes.
pub async fn pair(limits: LinkLimits) -> (celeryhaven_link::Link, celeryhaven_link::Link) {
    let authority = Authority::new();
    let listening = server(&authority.node("entry-1"), Role::Node, limits);
    let dialling = client(&authority.node("entry-2"), limits);
    let address = listening.local_address().unwrap();
    let accepted = async {
        let incoming = listening.accept().await.unwrap();
        listening.handshake(incoming).await.unwrap()
    };
    let dialled = async { dialling.connect(address).await.unwrap() };
    smol::future::zip(dialled, accepted).await
}
