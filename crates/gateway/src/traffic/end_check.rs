use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use celeryhaven_ends::{EndVerdict, Evidence, Finding, TargetProcess};
use celeryhaven_http::ConnectionError;
use celeryhaven_policy::Ticket;
use celeryhaven_types::TimeMs;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::quarantine_gate::EndedRun;
use crate::traffic::{CallerRequest, Destination, Dispatcher, EndQuery, TrafficReport};

/// Time from the break of a connection until its target is checked, within which a process that ends
/// closes its listening socket.
const BROKEN_DELAY: Duration = Duration::from_millis(20);

/// The same for an attempt that this node has given up.
///
/// Some targets do not notice that the caller of a request has left and run on.
const ABANDONED_DELAY: Duration = Duration::from_millis(500);

/// Time after which a connection that is not open yet shows nothing, so that peers are asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// Maximum number of checks of abandoned attempts that wait.
const ABANDONED_MAX: usize = 64;

/// Finds out whether targets have ended: a process that has ended refuses connections, while one that
/// lost or spoilt an answer accepts them.
///
/// What this node finds need not be true of the target: its path may be lost, or reset connections. The
/// control thread then asks peers and the platform's list.
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
        self.executor.spawn(self.clone().check_after(BROKEN_DELAY, run, true)).detach();
    }

    /// Records a crash if the target ends soon of an attempt that this node has given up before a whole
    /// event.
    pub(crate) fn check_abandoned(
        self: &Rc<Self>,
        ticket: Ticket,
        request: &CallerRequest,
        at: (&Destination, TimeMs),
    ) {
        let run = self.ended_run(ticket, request, at);
        if self.abandoned_checks.get() >= ABANDONED_MAX {
            return self.log_unattributed(&run, "not checked");
        }
        self.abandoned_checks.set(self.abandoned_checks.get() + 1);
        let dispatcher = self.clone();
        let check = async move {
            dispatcher.clone().check_after(ABANDONED_DELAY, run, false).await;
            dispatcher.abandoned_checks.set(dispatcher.abandoned_checks.get() - 1);
        };
        self.executor.spawn(check).detach();
    }

    async fn check_after(self: Rc<Self>, delay: Duration, run: EndedRun, is_broken: bool) {
        Timer::after(delay).await;
        let found = self.find(&run).await;
        if found == Finding::Accepted {
            return self.settle(&run, EndVerdict::NotEnded(Evidence::Accepted));
        }
        let Destination { target, started_at_ms, .. } = &run.destination;
        let process = TargetProcess { name: target.clone(), started_at_ms: *started_at_ms };
        let digest = run.request.digest;
        let is_sound = self.state.borrow().sound_runs.contains(digest);
        let content = (!is_sound).then_some(digest);
        let query = EndQuery { process, found, is_broken, content };
        let (reply, verdicts) = async_channel::unbounded();
        self.notify_control(TrafficReport::EndSuspected(query, reply));
        self.await_verdict(&run, found, verdicts).await;
    }

    /// Finds out what a new connection to the target of a run shows.
    async fn find(&self, run: &EndedRun) -> Finding {
        let Destination { service, address, .. } = &run.destination;
        let late = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let connect = async { Some(self.connections.connect(*address).await) };
        match smol::future::or(connect, late).await {
            Some(Ok(connection)) => {
                self.connections.put(*address, connection, None);
                Finding::Accepted
            }
            Some(Err(ConnectionError::Connect { source }))
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                match self.link_check.is_isolated(service, *address, self.now()).await {
                    true => Finding::RefusedByAll,
                    false => Finding::Refused,
                }
            }
            Some(Err(_)) | None => Finding::Unreachable,
        }
    }

    /// Waits until it is known whether the target of a run has ended.
    async fn await_verdict(&self, run: &EndedRun, found: Finding, verdicts: Receiver<EndVerdict>) {
        let mut is_unsettled = false;
        while let Ok(verdict) = verdicts.recv().await {
            if verdict.is_final() {
                return self.settle(run, verdict);
            }
            if !std::mem::replace(&mut is_unsettled, true) {
                self.log_checked(run, verdict, Some(found));
            }
        }
        self.log_unattributed(run, "not checked");
    }

    fn settle(&self, run: &EndedRun, verdict: EndVerdict) {
        self.log_checked(run, verdict, None);
        match verdict {
            EndVerdict::Ended(_) => self.record_crash(run),
            EndVerdict::NotEnded(_) | EndVerdict::Unsettled => {
                self.log_unattributed(run, "not ended");
            }
        }
    }

    /// Logs what is known of the end of the target of a run.
    fn log_checked(&self, run: &EndedRun, verdict: EndVerdict, found: Option<Finding>) {
        info!(self.log, "target checked"; "digest" => run.request.digest.to_string(),
            "target" => run.destination.target.as_str(), "verdict" => verdict.as_str(),
            "evidence" => verdict.evidence().as_str(), "after_ms" => self.now().since(run.broken_at),
            "found" => found.map(|found| format!("{found:?}")));
    }
}
