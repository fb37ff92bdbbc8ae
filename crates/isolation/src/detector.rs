use std::collections::BTreeMap;

use celeryhaven_types::{ServiceName, TimeMs};

use crate::service_links::ServiceLinks;
use crate::{CheckOutcome, DueCheck, LinkChange};

/// Tells whether a node has lost its links to all targets of a service.
///
/// ```
/// use celeryhaven_isolation::{CheckOutcome, IsolationDetector, LinkChange};
/// use celeryhaven_types::{ServiceName, TimeMs};
///
/// let (mut detector, service) = (IsolationDetector::new(), ServiceName::new("models"));
/// detector.sent(TimeMs::new(0), &service);
/// let due = detector.take_due_checks(TimeMs::new(300));
/// assert_eq!(due[0].service, service);
/// let change = detector.check_ended(TimeMs::new(302), &service, CheckOutcome::Unreachable);
/// assert_eq!(change, Some(LinkChange::Isolated));
/// assert!(detector.is_isolated(&service));
/// ```
#[derive(Clone, Debug, Default)]
pub struct IsolationDetector {
    services: BTreeMap<ServiceName, ServiceLinks>,
}

impl IsolationDetector {
    /// Creates a detector of a node that has called no target yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was sent to a target.
    pub fn sent(&mut self, now: TimeMs, service: &ServiceName) {
        self.links(service).sent(now);
    }

    /// Records that a target has sent a part of an answer.
    pub fn received(&mut self, service: &ServiceName) {
        self.links(service).received();
    }

    /// Records a new connection to a target, which shows that the node is not isolated.
    pub fn connected(&mut self, now: TimeMs, service: &ServiceName) -> Option<LinkChange> {
        self.links(service).connected(now)
    }

    /// Returns the checks that are due and begins them.
    pub fn take_due_checks(&mut self, now: TimeMs) -> Vec<DueCheck> {
        let services = self.services.iter_mut();
        let due = services.filter_map(|(service, links)| {
            let targets_max = links.take_due_check(now)?;
            Some(DueCheck { service: service.clone(), targets_max })
        });
        due.collect()
    }

    /// Begins a check that is wanted at once, as a call has failed without an answer.
    pub fn begin_check(&mut self, now: TimeMs, service: &ServiceName) -> DueCheck {
        let targets_max = self.links(service).begin_check(now);
        DueCheck { service: service.clone(), targets_max }
    }

    /// Records the outcome of a check.
    pub fn check_ended(
        &mut self,
        now: TimeMs,
        service: &ServiceName,
        outcome: CheckOutcome,
    ) -> Option<LinkChange> {
        self.links(service).check_ended(now, outcome)
    }

    /// Whether the node has lost its links to all targets of a service.
    pub fn is_isolated(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|links| links.is_isolated)
    }

    /// Whether the node is isolated from any service.
    pub fn is_isolated_from_any(&self) -> bool {
        self.services.values().any(|links| links.is_isolated)
    }

    /// Returns the services from which the node is isolated, in order.
    pub fn isolated_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, links)| links.is_isolated).map(|(service, _)| service)
    }

    /// Whether a new connection to a target of a service was opened at or after a time.
    pub fn has_connected_since(&self, service: &ServiceName, at: TimeMs) -> bool {
        self.services.get(service).is_some_and(|links| links.has_connected_since(at))
    }

    fn links(&mut self, service: &ServiceName) -> &mut ServiceLinks {
        self.services.entry(service.clone()).or_default()
    }
}
