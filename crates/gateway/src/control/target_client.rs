use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryhaven_clock::BootClock;
use celeryhaven_ends::Finding;
use celeryhaven_fleet::{OrderOutcome, TargetEntry, TargetOrder};
use celeryhaven_forming::Reachability;
use celeryhaven_http::{BodyError, Connection, ConnectionError, ConnectionPool, RequestBody};
use celeryhaven_peers::ProbeResult;
use celeryhaven_telemetry::metrics::OutcomeLabel;
use celeryhaven_types::{ServiceName, VmName};
use http::header::{CONTENT_TYPE, HOST};
use http::response::Parts;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::http::{CUT_OFF_HEADER, ISOLATED_HEADER};
use crate::links::LinkCheck;
use crate::traffic::SharedNotices;

/// Timeout of an order. Orders can be repeated safely.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a probe; answering one takes no slot, so load does not delay it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a probe tries to connect a second time, early enough for an answer.
const SECOND_CONNECT_DELAY: Duration = Duration::from_millis(100);

/// Time within which a probe must have a connection, and within which the target is tried again.
///
/// Together they are as long as the wait for an answer.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest answer to an order or a probe that is read to its end, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Marks the answer to a request of which an earlier copy may have been received.
#[derive(Clone, Copy, Debug)]
struct SentTwice;

/// Client for targets and other nodes.
#[derive(Clone)]
pub(crate) struct TargetClient<A> {
    pub(crate) adapter: A,
    pub(crate) connections: ConnectionPool,
    pub(crate) notices: SharedNotices,
    pub(crate) link_check: LinkCheck,
}

/// A target, as it is called.
#[derive(Clone, Debug)]
pub(crate) struct CalledTarget {
    /// The name.
    pub(crate) name: VmName,
    /// The service to which it belongs.
    pub(crate) service: ServiceName,
    /// The address on which it listens.
    pub(crate) address: SocketAddr,
    /// Start time of its process, in Unix milliseconds.
    pub(crate) started_at_ms: Option<u64>,
}

impl CalledTarget {
    /// Creates it from the target's entry.
    pub(crate) fn new(entry: &TargetEntry) -> Self {
        let TargetEntry { name, service, address, started_at_ms, .. } = entry;
        let (name, service) = (name.clone(), service.clone());
        Self { name, service, address: *address, started_at_ms: *started_at_ms }
    }
}

impl<A: Adapter> TargetClient<A> {
    /// Sends an order to a target, also in a pause: it adds no load, and may end one that is lost.
    pub(crate) async fn send_order(
        &self,
        target: &CalledTarget,
        order: &TargetOrder,
    ) -> OrderOutcome {
        let call = self.adapter.order(order);
        let mut request = Request::new(RequestBody::from(Bytes::from(call.body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(call.path);
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.adapter.expect_target(headers, &target.name);
        match self.call_target(target, request, ORDER_TIMEOUT).await {
            Some(Ok(answer)) => match self.adapter.order_outcome(answer.status) {
                // The first copy may have changed the target's state.
                OrderOutcome::AlreadyHeld if answer.extensions.get::<SentTwice>().is_some() => {
                    OrderOutcome::Accepted
                }
                outcome => outcome,
            },
            Some(Err(ConnectionError::Connect { source })) if is_refused(&source) => {
                match self.confirm_unreachable(target).await {
                    Some(Reachability::Gone) => OrderOutcome::TargetRemoved,
                    _ => OrderOutcome::Unanswered,
                }
            }
            Some(Err(_)) | None => OrderOutcome::Unanswered,
        }
    }

    /// Requests a report to find out whether the target is reachable; returns `None` if the target has
    /// asked for a pause, or if this node reaches no target.
    pub(crate) async fn probe_target(&self, target: &CalledTarget) -> Option<Reachability> {
        let notices = self.notices.current();
        if notices.back_offs.holds(BootClock.now(), &target.name, target.started_at_ms) {
            return None;
        }
        // Only a new connection shows whether the target's host is reachable now.
        let connect = self.connections.connect_twice(target.address, SECOND_CONNECT_DELAY);
        let Some(Ok(connection)) = within(PROBE_CONNECT_TIMEOUT, connect).await else {
            return self.confirm_unreachable(target).await;
        };
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = http::Uri::from_static(self.adapter.paths().report);
        let open = async { Ok((connection, true)) };
        let answer = self.exchange(target.address, open, request, PROBE_TIMEOUT).await;
        self.record_notices(target, answer.as_ref());
        match answer {
            Some(Ok(_)) => Some(Reachability::Answers),
            _ if self.is_isolated(target).await => None,
            Some(Err(_)) | None => Some(Reachability::Silent),
        }
    }

    /// Finds out within a time what a new connection to a target shows, without a request.
    pub(crate) async fn find(&self, target: &CalledTarget, time: Duration) -> Finding {
        let find = async {
            match self.connections.connect_twice(target.address, SECOND_CONNECT_DELAY).await {
                Ok(connection) => {
                    self.connections.put(target.address, connection, None);
                    Finding::Accepted
                }
                Err(ConnectionError::Connect { source })
                    if source.kind() == std::io::ErrorKind::ConnectionRefused =>
                {
                    match self.is_isolated(target).await {
                        true => Finding::RefusedByAll,
                        false => Finding::Refused,
                    }
                }
                Err(_) => Finding::Unreachable,
            }
        };
        within(time, find).await.unwrap_or(Finding::Unreachable)
    }

    /// Decides whether a target is unreachable to which no connection could be opened; returns `None`
    /// if this node reaches no target.
    ///
    /// The links may be back since, or this process may have been suspended, so the target is tried once
    /// more after another one has been reached.
    async fn confirm_unreachable(&self, target: &CalledTarget) -> Option<Reachability> {
        if self.is_isolated(target).await {
            return None;
        }
        Some(match within(CONFIRM_TIMEOUT, self.connections.connect(target.address)).await {
            Some(Ok(connection)) => {
                self.connections.put(target.address, connection, None);
                Reachability::Silent
            }
            Some(Err(ConnectionError::Connect { source })) if is_refused(&source) => {
                Reachability::Gone
            }
            Some(Err(_)) | None => Reachability::NoConnection,
        })
    }

    /// Whether a target has not answered because this node reaches no other target either.
    ///
    /// Only a connection that was opened after the failure shows that it does.
    async fn is_isolated(&self, target: &CalledTarget) -> bool {
        self.link_check.is_isolated(&target.service, target.address, BootClock.now().after(1)).await
    }

    /// Probes the readiness endpoint of a node.
    pub(crate) async fn probe_node(&self, address: SocketAddr) -> ProbeResult {
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = http::Uri::from_static(self.adapter.paths().ready);
        let open = self.connections.take(address);
        match self.exchange(address, open, request, PROBE_TIMEOUT).await {
            Some(Ok(answer)) if answer.status != StatusCode::OK => ProbeResult::NotReady,
            Some(Ok(answer)) if answer.headers.contains_key(ISOLATED_HEADER) => {
                ProbeResult::Isolated
            }
            Some(Ok(answer)) if answer.headers.contains_key(CUT_OFF_HEADER) => ProbeResult::CutOff,
            Some(Ok(_)) => ProbeResult::Ready,
            Some(Err(_)) | None => ProbeResult::Unanswered,
        }
    }

    /// Sends a request to a target, and records what its answer says about it.
    async fn call_target(
        &self,
        target: &CalledTarget,
        request: Request<RequestBody>,
        timeout: Duration,
    ) -> Option<Result<Parts, ConnectionError>> {
        let open = self.connections.take(target.address);
        let answer = self.exchange(target.address, open, request, timeout).await;
        self.record_notices(target, answer.as_ref());
        answer
    }

    fn record_notices(
        &self,
        target: &CalledTarget,
        answer: Option<&Result<Parts, ConnectionError>>,
    ) {
        if let Some(Ok(parts)) = answer {
            let head = self.adapter.answer_head(parts.status, &parts.headers);
            let target = (&target.name, target.started_at_ms);
            self.notices.observe(BootClock.now(), target, &head);
        }
    }

    /// Sends a request on the connection that `open` gives; returns `None` on a timeout.
    async fn exchange(
        &self,
        address: SocketAddr,
        open: impl Future<Output = Result<(Connection, bool), ConnectionError>>,
        mut request: Request<RequestBody>,
        timeout: Duration,
    ) -> Option<Result<Parts, ConnectionError>> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let exchange = async {
            let answer = async {
                let (mut connection, is_new) = open.await?;
                match connection.send(request.clone()).await {
                    Err(ConnectionError::Closed) if !is_new => {
                        connection = self.connections.connect(address).await?;
                        let mut response = connection.send(request).await?;
                        response.extensions_mut().insert(SentTwice);
                        Ok((connection, response))
                    }
                    Err(error) => Err(error),
                    Ok(response) => Ok((connection, response)),
                }
            };
            let (connection, response) = answer.await?;
            let (parts, body) = response.into_parts();
            // Calls of control bear no id, so that an answer with one belongs to another request.
            let identity = self.adapter.answer_head(parts.status, &parts.headers).identity;
            if !identity.is_of(None) {
                return Err(ConnectionError::OtherAnswer { answered_id: identity.to_string() });
            }
            self.finish(address, connection, &parts, body).await;
            Ok(parts)
        };
        let answer = within(timeout, exchange).await;
        if let Some(Err(error)) = &answer
            && let Some(reason) = error.invalid_answer()
        {
            self.report_invalid(address, reason, error);
        }
        answer
    }

    fn report_invalid(&self, address: SocketAddr, reason: &'static str, error: impl Display) {
        let label = OutcomeLabel { call: "control", outcome: reason };
        self.link_check.metrics.invalid_answers.get_or_create(&label).inc();
        info!(self.link_check.log, "invalid answer"; "address" => address.to_string(),
            "error" => error.to_string());
    }

    /// Reads the rest of the answer and returns the connection to the pool.
    async fn finish(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        head: &Parts,
        body: celeryhaven_http::IncomingBody,
    ) {
        let closes = self.adapter.answer_head(head.status, &head.headers).closes_connection;
        let rest = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        if let Err(error) = &rest
            && let Some(error) = error.downcast_ref::<BodyError>()
            && let Some(reason) = error.invalid_answer()
        {
            self.report_invalid(address, reason, error);
        }
        if rest.is_ok() && !closes && connection.wait_idle().await {
            self.connections.put(address, connection, None);
        }
    }
}

/// Waits for a future; returns `None` on a timeout.
async fn within<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(timeout).await;
        None
    };
    smol::future::or(async { Some(future.await) }, late).await
}

fn is_refused(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::ConnectionReset
    )
}
