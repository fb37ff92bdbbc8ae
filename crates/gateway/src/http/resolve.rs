use std::rc::Rc;
use std::sync::Arc;

use celeryhaven_delegation::DelegatedRequest;
use celeryhaven_fleet::{Route, RouteTable};
use celeryhaven_types::{ModelName, OrganisationName, Refusal, RefusalCode, ServiceName};
use http::{HeaderMap, StatusCode};
use slog::info;

use crate::adapter::{Adapter, CallerHead};
use crate::traffic::{DELEGATED_HEADER, Delegated, Dispatcher};

/// Retry delay suggested while this node does not accept requests, in milliseconds.
///
/// Other nodes accept requests meanwhile.
pub(crate) const NOT_READY_RETRY_AFTER_MS: u64 = 300;

/// Time that is left for the answer itself when the age of a configuration is judged, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 200;

/// An error answer produced by this node.
pub(super) enum Rejection {
    Refusal(StatusCode, Refusal),
}

/// Route, service and caller of a request.
pub(super) struct Resolved {
    pub(super) route: Route,
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    pub(super) organisation: Option<OrganisationName>,
    pub(super) rank: u8,
    pub(super) delegated: Option<Delegated>,
}

impl From<DelegatedRequest> for Resolved {
    fn from(request: DelegatedRequest) -> Self {
        let DelegatedRequest { route, service, model, organisation, rank, is_counted, .. } =
            request;
        let delegated = Some(Delegated { is_counted });
        Self { route, service, model, organisation, rank, delegated }
    }
}

/// Finds the route and the service of a request, and authenticates its caller.
pub(super) fn resolve(
    routes: &Arc<RouteTable>,
    (host, path): (&str, &str),
    caller: &CallerHead,
) -> Result<Resolved, Rejection> {
    let route = routes.route(host, path).ok_or_else(|| {
        Rejection::Refusal(StatusCode::NOT_FOUND, Refusal::not_run(RefusalCode::UnknownService))
    })?;
    let (organisation, own_rank) = authenticate(routes, route, caller)?;
    let service =
        route.select_service(request_fraction(caller)).cloned().ok_or_else(unavailable)?;
    let has_engines =
        routes.config().service(&service).is_some_and(|service| service.engine.is_some());
    Ok(Resolved {
        rank: own_rank.unwrap_or(route.rank),
        model: caller.model.clone().filter(|_| has_engines),
        route: route.clone(),
        service,
        organisation,
        delegated: None,
    })
}

/// Takes what another node has said of a request that this node runs for it.
///
/// Only a node that has read this node's token from the store may delegate requests.
pub(super) fn read_delegated<A: Adapter>(
    dispatcher: &Rc<Dispatcher<A>>,
    headers: &mut HeaderMap,
) -> Result<Option<DelegatedRequest>, Rejection> {
    let Some(value) = headers.remove(DELEGATED_HEADER) else { return Ok(None) };
    let request = DelegatedRequest::decode(value.as_bytes());
    match request.filter(|request| request.token == dispatcher.token) {
        Some(request) => Ok(Some(request)),
        // This node may have started anew since its token was read.
        None => Err(unavailable()),
    }
}

/// Returns the organisation and rank that belong to the caller's key; rejects unknown keys.
fn authenticate(
    routes: &Arc<RouteTable>,
    route: &Route,
    caller: &CallerHead,
) -> Result<(Option<OrganisationName>, Option<u8>), Rejection> {
    if !routes.needs_keys() {
        return Ok((None, None));
    }
    let holder = caller.key.as_deref().and_then(|key| routes.holder(key));
    match holder {
        Some((name, rank)) => Ok((Some(name.clone()), rank)),
        None if route.anonymous => Ok((None, None)),
        None => Err(Rejection::Refusal(
            StatusCode::UNAUTHORIZED,
            Refusal::not_run(RefusalCode::Unauthenticated),
        )),
    }
}

/// Returns what to answer instead of a rejection that only the newest configuration justifies.
///
/// A route or key may have been added that this node can't know yet: another node can tell, and the
/// caller must not take the answer for final.
pub(super) fn confirm<A: Adapter>(
    dispatcher: &Dispatcher<A>,
    routes: &RouteTable,
    rejection: Rejection,
) -> Rejection {
    let Rejection::Refusal(status, _) = &rejection;
    if !matches!(*status, StatusCode::NOT_FOUND | StatusCode::UNAUTHORIZED) {
        return rejection;
    }
    let number = routes.config().number;
    let age_ms = dispatcher.confirmation.age_ms(dispatcher.now(), number);
    let age_ms_max = dispatcher.config_apply_ms.saturating_sub(ANSWER_MARGIN_MS);
    let is_confirmed = age_ms.is_some_and(|age_ms| age_ms <= age_ms_max);
    info!(dispatcher.log, "not allowed by the configuration"; "status" => status.as_u16(),
        "number" => number.get(), "confirmed_ms_ago" => age_ms, "is_final" => is_confirmed);
    if is_confirmed { rejection } else { unavailable() }
}

pub(super) fn unavailable() -> Rejection {
    let refusal = Refusal::not_run(RefusalCode::NodeUnavailable);
    let refusal = refusal.with_retry_after_ms(NOT_READY_RETRY_AFTER_MS);
    Rejection::Refusal(StatusCode::SERVICE_UNAVAILABLE, refusal)
}

/// Returns a number from 0 to 1 derived from the request id, for weighted service selection.
///
/// Every node selects the same service for the same request.
fn request_fraction(caller: &CallerHead) -> f64 {
    let id = caller.request_id.as_deref().unwrap_or_default();
    let hash =
        id.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// FNV-1a, 64 bit, by Fowler, Noll and Vo.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
