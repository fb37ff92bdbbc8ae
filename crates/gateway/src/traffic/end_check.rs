use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use celeryhaven_http::ConnectionError;
use celeryhaven_policy::Ticket;
use celeryhaven_types::TimeMs;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::quarantine_gate::EndedRun;
use crate::traffic::{CallerRequest, Destination, Dispatcher};

/// Time from the break of a connection until its target is checked, within which a process that ends
/// closes its listening socket.
const BROKEN_DELAY: Duration = Duration::from_millis(20);

/// The same for an attempt that this node has given up.
///
/// Some targets do not notice that the caller of a request has left and run on.
const ABANDONED_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of checks of abandoned attempts that wait.
const ABANDONED_MAX: usize = 64;

/// Finds out whether targets have ended: a process that has ended refuses connections, while one that
/// lost or spoilt an answer accepts them.
impl<A: Adapter> Dispatcher<A> {
    /// Records a crash if the target of an attempt has ended whose connection broke; `at` names the
    /// target and when the attempt was sent.
    pub(crate) fn check_broken(
        self: &Rc<Self>,
        ticket: Ticket,
        request: &CallerRequest,
        at: (&Destination, TimeMs),
    ) {
        let run = self.ended_run(ticket, request, at);
        self.executor.spawn(self.clone().check_after(BROKEN_DELAY, run)).detach();
    }

    /// Records a crash if the target ends soon of an attempt that this node has given up before a whole
    /// event.
    pub(crate) fn check_abandoned(
        self: &Rc<Self>,
        ticket: Ticket,
        request: &CallerRequest,
        at: (&Destination, TimeMs),
    ) {
        if self.abandoned_checks.get() >= ABANDONED_MAX {
            return;
        }
        self.abandoned_checks.set(self.abandoned_checks.get() + 1);
        let (dispatcher, run) = (self.clone(), self.ended_run(ticket, request, at));
        let check = async move {
            dispatcher.clone().check_after(ABANDONED_DELAY, run).await;
            dispatcher.abandoned_checks.set(dispatcher.abandoned_checks.get() - 1);
        };
        self.executor.spawn(check).detach();
    }

    async fn check_after(self: Rc<Self>, delay: Duration, run: EndedRun) {
        Timer::after(delay).await;
        let address = run.destination.address;
        let found = match self.connections.connect(address).await {
            Ok(connection) => {
                self.connections.put(address, connection, None);
                "accepted"
            }
            Err(ConnectionError::Connect { source })
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                self.log_checked(&run, "refused");
                return self.record_refused(&run).await;
            }
            // A target that is out of reach need not have ended.
            Err(ConnectionError::ConnectTimeout { .. }) => "timed out",
            Err(_) => "failed",
        };
        self.log_checked(&run, found);
        self.log_unattributed(&run, "not ended");
    }

    /// Logs what a new connection to the target of a run has shown.
    fn log_checked(&self, run: &EndedRun, found: &'static str) {
        info!(self.log, "target checked"; "digest" => run.request.digest.to_string(),
            "target" => run.destination.target.as_str(), "found" => found,
            "after_ms" => self.now().since(run.broken_at));
    }

    /// Records a crash, unless this node can open no connection to any target now.
    async fn record_refused(&self, run: &EndedRun) {
        let Destination { service, address, .. } = &run.destination;
        match self.link_check.is_isolated(service, *address, self.now()).await {
            true => self.log_unattributed(run, "isolated"),
            false => self.record_crash(run),
        }
    }
}
