//! Tests of the plain service stand-in: recorded calls and lost answers.

use std::sync::Arc;

use celeryhaven_stand_ins::caller::{Caller, Outcome, PlainCall};
use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::plain::{PlainFaults, PlainService};

/// The loopback address with an automatically assigned port.
const LOOPBACK_ANY_PORT: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn update(id: &str) -> PlainCall {
    PlainCall::new("POST", "/lots/17").with_body(id).with_header("x-request-id", id)
}

#[test]
fn call_answer_lost() {
    smol::block_on(async {
        let service = Arc::new(PlainService::new());
        let server = Server::bind(LOOPBACK_ANY_PORT, service.clone()).await.unwrap();
        service.set_faults(PlainFaults { lose_answer_after_run: 1, ..PlainFaults::default() });
        let caller = Caller::new("key");
        let lost = caller.call(server.address(), &update("a")).await;
        let next = caller.call(server.address(), &update("b")).await;
        assert_eq!((lost.outcome, next.outcome), (Outcome::Broken, Outcome::Whole));
        assert_eq!(service.runs().len(), 2);
    });
}

#[test]
fn call_not_run() {
    smol::block_on(async {
        let service = Arc::new(PlainService::new());
        let server = Server::bind(LOOPBACK_ANY_PORT, service.clone()).await.unwrap();
        let faults =
            PlainFaults { refuse_not_run: 1, reset_before_run: 1, ..PlainFaults::default() };
        service.set_faults(faults);
        let caller = Caller::new("key");
        let refused = caller.call(server.address(), &update("a")).await;
        let reset = caller.call(server.address(), &update("b")).await;
        assert_eq!((refused.status, reset.outcome), (503, Outcome::Broken));
        assert!(service.runs().is_empty());
    });
}
