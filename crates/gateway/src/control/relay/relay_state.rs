use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use celeryhaven_clock::BootClock;
use celeryhaven_demand::DemandTree;
use celeryhaven_fleet::StoreContact;
use celeryhaven_http::IncomingBody;
use celeryhaven_types::TimeMs;
use celeryhaven_types::store::ObjectVersion;
use http::header::AUTHORIZATION;
use http::{Request, Response, StatusCode};
use smol::Timer;

use crate::control::event::{FeedKind, FeedUpdate};
use crate::control::relay::codec::encode;
use crate::control::relay::messages::{DemandReport, RelayReply};
use crate::control::relay::peer_server::empty_response;
use crate::control::relay::relay_log::RelayLog;
use crate::control::relay::relay_request::RelayRequest;
use crate::traffic::AnswerBody;

/// State that this node keeps for its followers: one log per kind of objects, and their demand.
#[derive(Clone, Debug)]
pub(crate) struct RelayState {
    token: Rc<str>,
    configuration: Rc<RelayLog>,
    targets: Rc<RelayLog>,
    advisories: Rc<RelayLog>,
    evacuations: Rc<RelayLog>,
    nodes: Rc<RelayLog>,
    /// Whether this node has lost its own sources.
    is_lost: Rc<Cell<bool>>,
    /// Demand of the followers and of the fleet.
    pub(crate) demand: Rc<RefCell<DemandTree>>,
}

impl RelayState {
    /// Creates empty logs.
    pub(crate) fn new(token: &str) -> Self {
        Self {
            token: token.into(),
            configuration: Rc::default(),
            targets: Rc::default(),
            advisories: Rc::default(),
            evacuations: Rc::default(),
            nodes: Rc::default(),
            is_lost: Rc::default(),
            demand: Rc::default(),
        }
    }

    /// Records a feed update that leads from one version to another, and up to when this node is
    /// known to have everything, if that differs from its contact with the source.
    pub(crate) fn record(
        &self,
        kind: FeedKind,
        (from, version): (Option<ObjectVersion>, ObjectVersion),
        update: &FeedUpdate,
        confirmed_at: Option<TimeMs>,
    ) {
        let log = self.log(kind);
        let mut change_log = log.log.borrow_mut();
        let store = match update {
            FeedUpdate::Listed { objects, store, .. } => {
                change_log.apply_list(version, objects);
                *store
            }
            FeedUpdate::Changed { changes, store, .. } => {
                change_log.apply_changes(from.unwrap_or_default(), version, changes);
                *store
            }
            FeedUpdate::Failed => return,
        };
        let now = BootClock.now();
        let contact_age_ms = confirmed_at.map_or(store.contact_age_ms, |at| now.since(at));
        change_log.record_contact(now, StoreContact { contact_age_ms, ..store });
        drop(change_log);
        log.wake();
    }

    /// Sets whether this node has lost its sources; if so, it answers no more until they are back.
    pub(crate) fn set_lost(&self, is_lost: bool) {
        self.is_lost.set(is_lost);
        FeedKind::ALL.into_iter().for_each(|kind| self.log(kind).wake());
    }

    /// Whether a follower could not be answered because the log has no full list.
    pub(crate) fn lacks_list(&self, kind: FeedKind) -> bool {
        self.log(kind).log.borrow().lacks_list()
    }

    /// Marks the log as stale, because no node follows this one.
    pub(crate) fn invalidate(&self, kind: FeedKind) {
        self.log(kind).log.borrow_mut().clear_contact();
    }

    /// Answers a relay request and records the demand that it reports.
    pub(super) async fn answer(
        self,
        request: RelayRequest,
        report: Option<DemandReport>,
    ) -> Response<AnswerBody> {
        if let Some(DemandReport { node, demand }) = report {
            // The tree counts a fault, and the control thread logs it.
            let applied = self.demand.borrow_mut().apply_report(BootClock.now(), node, demand);
            applied.unwrap_or_default();
        }
        let log = self.log(request.kind);
        let answer = smol::future::or(log.answer(&request, &self.is_lost), async {
            Timer::after(Duration::from_millis(request.wait_ms)).await;
            log.unchanged(&request)
        });
        let answer = answer.await;
        let mut demand = self.demand.borrow_mut().fleet_demand(BootClock.now());
        // One feed in five brings the short-term demand, as one reports it.
        demand.recent = demand.recent.filter(|_| request.kind == FeedKind::Targets);
        match encode(&RelayReply { answer, demand }) {
            Some(bytes) => Response::new(AnswerBody::full(bytes)),
            None => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Whether a request has the bearer token of this node.
    pub(super) fn is_authorised(&self, request: &Request<IncomingBody>) -> bool {
        let expected = format!("Bearer {}", self.token);
        let given = request.headers().get(AUTHORIZATION);
        given.is_some_and(|given| given.as_bytes() == expected.as_bytes())
    }

    fn log(&self, kind: FeedKind) -> &RelayLog {
        match kind {
            FeedKind::Configuration => &self.configuration,
            FeedKind::Targets => &self.targets,
            FeedKind::Advisories => &self.advisories,
            FeedKind::Evacuations => &self.evacuations,
            FeedKind::Nodes => &self.nodes,
        }
    }
}
