//! Which identities and roles each endpoint accepts.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use celeryhaven_link::{Identity, LinkEndpoint, LinkError, LinkLimits, Role};
use common::{Authority, client, pair, server};

/// Connects and receives: TLS reports a rejected client certificate only after the handshake.
async fn is_rejected(dialling: &LinkEndpoint, listening: &LinkEndpoint) -> bool {
    let address = listening.local_address().unwrap();
    let accepted = async {
        let incoming = listening.accept().await.unwrap();
        listening.handshake(incoming).await.is_err()
    };
    let dialled = async {
        match dialling.connect(address).await {
            Err(_) => true,
            Ok(link) => link.receive_bytes().await.is_err(),
        }
    };
    let (accepted, dialled) = smol::future::zip(accepted, dialled).await;
    accepted && dialled
}

#[test]
fn identity_both_ends() {
    smol::block_on(async {
        let (dialled, accepted) = pair(LinkLimits::default()).await;
        assert_eq!(dialled.peer(), &Identity::of_dns_name("entry-1.node.celeryhaven").unwrap());
        assert_eq!(accepted.peer(), &Identity::of_dns_name("entry-2.node.celeryhaven").unwrap());
    });
}

/// An operator certificate accepted on the peer port could distribute an unconfirmed configuration.
#[test]
fn identity_operator_as_node() {
    smol::block_on(async {
        let authority = Authority::new();
        let listening = server(&authority.node("entry-1"), Role::Node, LinkLimits::default());
        let dialling = client(&authority.operator("ilze"), LinkLimits::default());
        assert!(is_rejected(&dialling, &listening).await);
    });
}

/// A node certificate accepted as an operator would let one compromised VM control the fleet.
#[test]
fn identity_node_as_operator() {
    smol::block_on(async {
        let authority = Authority::new();
        let listening = server(&authority.node("entry-1"), Role::Operator, LinkLimits::default());
        let dialling = client(&authority.node("entry-2"), LinkLimits::default());
        assert!(is_rejected(&dialling, &listening).await);
    });
}

#[test]
fn identity_other_authority() {
    smol::block_on(async {
        let listening =
            server(&Authority::new().node("entry-1"), Role::Node, LinkLimits::default());
        let dialling = client(&Authority::new().node("entry-2"), LinkLimits::default());
        let address = listening.local_address().unwrap();
        let accepted = async {
            let incoming = listening.accept().await.unwrap();
            listening.handshake(incoming).await.is_err()
        };
        let dialled =
            async { matches!(dialling.connect(address).await, Err(LinkError::Connect { .. })) };
        assert_eq!(smol::future::zip(accepted, dialled).await, (true, true));
    });
}

/// A server with an operator certificate could receive requests and answer them as a node.
#[test]
fn identity_operator_listens() {
    smol::block_on(async {
        let authority = Authority::new();
        let listening = server(&authority.operator("ilze"), Role::Node, LinkLimits::default());
        let dialling = client(&authority.node("entry-2"), LinkLimits::default());
        let address = listening.local_address().unwrap();
        let accepted = async {
            let incoming = listening.accept().await.unwrap();
            listening.handshake(incoming).await.is_err()
        };
        let dialled = async { dialling.connect(address).await.is_err() };
        assert_eq!(smol::future::zip(accepted, dialled).await, (true, true));
    });
}

#[test]
fn identity_two_names() {
    let names = ["entry-1.node.celeryhaven", "ilze.operator.celeryhaven"];
    let issued = std::panic::catch_unwind(|| Authority::new().issue(&names));
    assert!(issued.is_err(), "a certificate of both roles was accepted");
}
