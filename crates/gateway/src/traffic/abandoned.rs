use std::rc::Rc;
use std::time::Duration;

use celeryhaven_http::ConnectionError;
use celeryhaven_policy::Ticket;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::{CallerRequest, Destination, Dispatcher};

/// Time from the end of an abandoned attempt until its target must still accept connections.
const CHECK_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of checks that wait.
const CHECKS_MAX: usize = 64;

impl<A: Adapter> Dispatcher<A> {
    /// Checks later whether a target has ended that may run on an attempt of this node.
    ///
    /// Some targets do not notice that the caller of a request has left, and no connection is left
    /// that would break.
    pub(crate) fn check_abandoned(
        self: &Rc<Self>,
        ticket: Ticket,
        request: &CallerRequest,
        at: &Destination,
    ) {
        if self.abandoned_checks.get() >= CHECKS_MAX {
            return;
        }
        self.abandoned_checks.set(self.abandoned_checks.get() + 1);
        let (dispatcher, request, destination) = (self.clone(), request.clone(), at.clone());
        let check = async move {
            Timer::after(CHECK_DELAY).await;
            dispatcher.abandoned_checks.set(dispatcher.abandoned_checks.get() - 1);
            let connections = &dispatcher.connections;
            match connections.connect(destination.address).await {
                Ok(connection) => connections.put(destination.address, connection, None),
                Err(ConnectionError::Connect { .. }) => {
                    dispatcher.record_crash(ticket, &request, &destination);
                }
                // A target that is out of reach need not have ended.
                Err(_) => {}
            }
        };
        self.executor.spawn(check).detach();
    }
}
