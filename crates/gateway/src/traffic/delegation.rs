use std::rc::Rc;

use celeryhaven_delegation::{DelegatedRequest, DelegationRefusal, Peer, TargetNotice};
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::{DataCentreName, NodeName, Refusal, RefusalCode, Verdict, VmName};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::adapter::{Adapter, AnswerHead, LimitHeader};
use crate::traffic::attempt::{Attempt, AttemptOutcome};
use crate::traffic::{
    AnswerParts, CallerRequest, Destination, DestinationName, Dispatcher, Exchange,
};

/// Header of a request that another node runs for this one.
pub(crate) const DELEGATED_HEADER: HeaderName =
    HeaderName::from_static("celeryhaven-delegated-request");

/// Header of an answer to a delegated request that is not the answer of a target.
pub(super) const REFUSAL_HEADER: HeaderName =
    HeaderName::from_static("celeryhaven-delegation-refusal");

/// Header of an answer to a delegated request that tells what its target has said of itself.
pub(super) const NOTICE_HEADER: HeaderName = HeaderName::from_static("celeryhaven-target-notice");

/// Maximum number of peers that one request is delegated to.
const PEERS_MAX: usize = 3;

/// What became of a delegated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delegation {
    /// The caller has its final answer.
    Completed,
    /// No peer could send the request to a target.
    NoPeer,
}

/// What a node keeps of a request that it runs for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Delegated {
    /// Whether the delegating node has counted the request as load already.
    pub(crate) is_counted: bool,
}

impl<A: Adapter> Exchange<A> {
    /// Whether peers may still run this request.
    pub(crate) fn may_delegate(&self) -> bool {
        self.request.delegated.is_none()
            && !self.is_trial
            && self.request.body.is_held()
            && self.reached < self.request.route.attempts_max
    }

    /// Lets peers run the request until one of them gives a final answer.
    pub(crate) async fn delegate(&mut self) -> Delegation {
        match self.attempt_at_peers().await {
            Some(outcome) => {
                self.resolve_delegated(outcome).await;
                Delegation::Completed
            }
            None => Delegation::NoPeer,
        }
    }

    /// Lets peers run the request until one has sent it to a target; returns how that ended.
    pub(super) async fn attempt_at_peers(&mut self) -> Option<AttemptOutcome> {
        let mut tried = Vec::new();
        while tried.len() < PEERS_MAX && self.stop_refusal().is_none() {
            let Some(peer) = self.dispatcher.choose_peer(&self.request, &tried) else { break };
            tried.push(peer.node.clone());
            let destination = peer_destination(&peer, &self.request);
            let guard = PeerGuard::new(self, &peer.node);
            let outcome = Attempt::new(self, &destination).with_peer(&peer).run().await;
            drop(guard);
            self.dispatcher.count_delegation(outcome);
            match outcome {
                AttemptOutcome::PeerRefused(refusal, _) if refusal.is_local => {
                    // That a peer has no room for a long body says nothing of other requests.
                    if !self.request.body.is_long() {
                        self.dispatcher.avoid_peer(&peer.node, &self.request);
                    }
                }
                // The peer was not reached.
                AttemptOutcome::Failed(Verdict::NotRun) => {
                    self.dispatcher.avoid_peer(&peer.node, &self.request);
                }
                outcome => return Some(outcome),
            }
        }
        None
    }

    /// Completes the request with what a peer has answered.
    async fn resolve_delegated(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered => self.answered(),
            AttemptOutcome::PeerRefused(refusal, retry_after_ms) => {
                self.reached += refusal.attempts;
                self.may_have_run |= refusal.verdict != Verdict::NotRun;
                let own = Refusal::not_run(RefusalCode::Overloaded);
                let own = retry_after_ms.map_or(own, |ms| own.with_retry_after_ms(ms));
                self.refuse(own).await;
            }
            _ => {
                self.may_have_run = true;
                self.fail(RefusalCode::AnswerLost).await;
            }
        }
    }

    /// Keeps what a target has said of itself for the node that has delegated the request.
    pub(super) fn note_for_delegator(&mut self, destination: &Destination, head: &AnswerHead) {
        let rate_per_s = match head.limit {
            LimitHeader::RatePerS(rate_per_s) => Some(rate_per_s),
            LimitHeader::Absent | LimitHeader::Invalid => None,
        };
        let says_something = head.is_leaving || head.back_off_ms.is_some() || rate_per_s.is_some();
        if self.request.delegated.is_some() && says_something {
            self.notice = Some(TargetNotice {
                target: destination.target.clone(),
                started_at_ms: destination.started_at_ms,
                is_leaving: head.is_leaving,
                back_off_ms: head.back_off_ms,
                rate_per_s,
            });
        }
    }

    /// Adds that to an answer.
    pub(super) fn add_notice(&self, headers: &mut HeaderMap) {
        let value = self.notice.as_ref().and_then(TargetNotice::encode);
        let value = value.and_then(|bytes| HeaderValue::from_bytes(&bytes).ok());
        headers.extend(value.map(|value| (NOTICE_HEADER, value)));
    }

    /// Returns the message for a peer.
    pub(crate) fn delegated_request(&self, peer: &Peer) -> DelegatedRequest {
        let request = &self.request;
        let mut route = request.route.clone();
        route.attempts_max = route.attempts_max.saturating_sub(self.reached);
        route.shares.clear();
        DelegatedRequest {
            token: peer.token.clone(),
            route,
            service: request.service.clone(),
            model: request.model.clone(),
            organisation: request.organisation.clone(),
            rank: request.rank,
            is_counted: self.is_registered,
        }
    }
}

/// Counts a request as running at a peer until it is dropped.
struct PeerGuard<A: Adapter> {
    dispatcher: Rc<Dispatcher<A>>,
    node: NodeName,
}

impl<A: Adapter> PeerGuard<A> {
    fn new(exchange: &Exchange<A>, node: &NodeName) -> Self {
        let dispatcher = exchange.dispatcher.clone();
        dispatcher.state.borrow_mut().peers.sent(node);
        Self { dispatcher, node: node.clone() }
    }
}

impl<A: Adapter> Drop for PeerGuard<A> {
    fn drop(&mut self) {
        self.dispatcher.state.borrow_mut().peers.ended(&self.node);
    }
}

impl<A: Adapter> Dispatcher<A> {
    fn choose_peer(&self, request: &CallerRequest, tried: &[NodeName]) -> Option<Peer> {
        let now = self.now();
        self.state.borrow_mut().choose_peer(now, &request.service, tried)
    }

    fn avoid_peer(&self, node: &NodeName, request: &CallerRequest) {
        let now = self.now();
        self.state.borrow_mut().peers.avoid(now, node, &request.service);
    }

    fn count_delegation(&self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::PeerRefused(refusal, _) if refusal.is_local => "peer isolated",
            AttemptOutcome::PeerRefused(..) => "refused",
            _ => "failed",
        };
        let label = OutcomeLabel { call: "delegate", outcome };
        self.metrics.delegated.get_or_create(&label).inc();
    }
}

/// Adds the reason of a refusal for the node that has delegated the request.
pub(crate) fn add_delegation_refusal(parts: &mut AnswerParts, refusal: &DelegationRefusal) {
    let value = refusal.encode().and_then(|bytes| HeaderValue::from_bytes(&bytes).ok());
    if let Some(value) = value {
        parts.headers.insert(REFUSAL_HEADER, value);
    }
}

/// Returns what a target has said of itself to the peer that has run a request.
pub(super) fn target_notice(headers: &HeaderMap) -> Option<TargetNotice> {
    TargetNotice::decode(headers.get(NOTICE_HEADER)?.as_bytes())
}

/// Returns the reason for which a peer gives no answer of a target.
pub(crate) fn delegation_refusal(headers: &HeaderMap) -> Option<DelegationRefusal> {
    DelegationRefusal::decode(headers.get(REFUSAL_HEADER)?.as_bytes())
}

fn peer_destination(peer: &Peer, request: &CallerRequest) -> Destination {
    Destination {
        name: DestinationName::Peer(peer.node.clone()),
        service: request.service.clone(),
        model: request.model.clone(),
        target: VmName::new(peer.node.as_str()),
        data_centre: DataCentreName::new(""),
        address: peer.address,
        slots: 0,
        started_at_ms: None,
    }
}
