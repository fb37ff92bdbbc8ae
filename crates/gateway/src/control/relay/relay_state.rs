use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use celeryhaven_clock::BootClock;
use celeryhaven_demand::DemandTree;
use celeryhaven_types::store::ObjectVersion;
use http::header::AUTHORIZATION;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smol::Timer;

use crate::control::event::{FeedKind, FeedUpdate};
use crate::control::relay::codec::encode;
use crate::control::relay::messages::{DemandReport, RelayReply};
use crate::control::relay::peer_server::plain;
use crate::control::relay::question::Question;
use crate::control::relay::relay_log::RelayLog;
use crate::traffic::AnswerBody;

/// What this node keeps for those that follow it, one log for each kind.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    token: Rc<str>,
    configuration: Rc<RelayLog>,
    targets: Rc<RelayLog>,
    /// Demand of the nodes that follow this one, and of the fleet.
    pub(crate) demand: Rc<RefCell<DemandTree>>,
}

/// Whom a relay has heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// Another relay.
    Relay,
}

impl Relay {
    /// Keeps nothing yet.
    pub(crate) fn new(token: &str) -> Self {
        Self {
            token: token.into(),
            configuration: Rc::default(),
            targets: Rc::default(),
            demand: Rc::default(),
        }
    }

    /// Takes over what a feed of this node has brought, from one version up to another.
    pub(crate) fn record(
        &self,
        kind: FeedKind,
        (from, version): (Option<ObjectVersion>, ObjectVersion),
        news: &FeedUpdate,
        source: Source,
    ) {
        let log = self.log(kind);
        let mut kept = log.log.borrow_mut();
        let store = match news {
            FeedUpdate::Listed { objects, store } => {
                kept.apply_list(version, objects);
                *store
            }
            FeedUpdate::Changed { changes, store } => {
                kept.apply_changes(from.unwrap_or_default(), version, changes);
                *store
            }
            FeedUpdate::Failed => return,
        };
        kept.record_contact(BootClock.now(), store);
        drop(kept);
        log.is_direct.set(source == Source::Store);
        log.wake();
    }

    /// Whether some who ask could not be answered for want of a whole list.
    pub(crate) fn lacks_list(&self, kind: FeedKind) -> bool {
        self.log(kind).log.borrow().lacks_list()
    }

    /// Vouches for nothing any more, since no node is to follow this one.
    pub(crate) fn silence(&self, kind: FeedKind) {
        self.log(kind).log.borrow_mut().clear_contact();
    }

    /// Answers a node that follows this one, and takes over the demand that it reports.
    pub(super) async fn answer(
        self,
        question: Question,
        report: Option<DemandReport>,
    ) -> Response<AnswerBody> {
        if let Some(DemandReport { node, demand }) = report {
            self.demand.borrow_mut().apply_report(BootClock.now(), node, demand);
        }
        let log = self.log(question.kind);
        let answer = smol::future::or(log.answer(&question), async {
            Timer::after(Duration::from_millis(question.wait_ms)).await;
            log.nothing_new(&question)
        });
        let answer = answer.await;
        let demand = self.demand.borrow_mut().fleet_demand(BootClock.now());
        match encode(&RelayReply { answer, demand }) {
            Some(bytes) => Response::new(AnswerBody::full(bytes)),
            None => plain(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Whether a node has shown that it reads the store.
    pub(super) fn is_shown_token(&self, request: &Request<Incoming>) -> bool {
        let expected = format!("Bearer {}", self.token);
        let given = request.headers().get(AUTHORIZATION);
        given.is_some_and(|given| given.as_bytes() == expected.as_bytes())
    }

    fn log(&self, kind: FeedKind) -> &RelayLog {
        match kind {
            FeedKind::Configuration => &self.configuration,
            FeedKind::Targets => &self.targets,
        }
    }
}
