use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use celeryhaven_clock::BootClock;
use celeryhaven_http::ConnectionPool;
use celeryhaven_isolation::{CheckOutcome, DueCheck, LinkChange};
use celeryhaven_telemetry::GatewayMetrics;
use celeryhaven_types::{ServiceName, TimeMs};
use slog::{Logger, info};
use smol::{LocalExecutor, Task, Timer};

use crate::control::ControlEvent;
use crate::links::SharedLinks;
use crate::links::shared_links::NextStep;

/// Connections that a check opens at once; the others follow if none of these is open by then.
const FIRST_CONNECTIONS: usize = 2;
const FOLLOWING_DELAY: Duration = Duration::from_millis(30);

/// Finds out whether this node reaches any target, before it judges one that does not answer.
#[derive(Clone, Debug)]
pub(crate) struct LinkCheck {
    pub(crate) links: SharedLinks,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) connections: ConnectionPool,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) log: Logger,
    events: Sender<ControlEvent>,
}

impl LinkCheck {
    /// Creates the check of one thread, which opens connections of that thread's pool.
    pub(crate) fn new(
        links: SharedLinks,
        executor: Rc<LocalExecutor<'static>>,
        connections: ConnectionPool,
        events: Sender<ControlEvent>,
        metrics: GatewayMetrics,
        log: Logger,
    ) -> Self {
        Self { links, executor, connections, events, metrics, log }
    }

    /// Whether a call to a target has failed because this node reaches no target of the service.
    ///
    /// A connection to another target that was opened since `fresh_at` shows that it does.
    pub(crate) async fn is_isolated(
        &self,
        service: &ServiceName,
        failed: SocketAddr,
        fresh_at: TimeMs,
    ) -> bool {
        match self.links.next_step(BootClock.now(), service, fresh_at) {
            NextStep::Known { is_isolated } => is_isolated,
            NextStep::Wait(ended) => {
                // Nothing is ever sent: the channel closes.
                ended.recv().await.unwrap_or_default();
                self.links.is_isolated(service)
            }
            NextStep::Check(check, ended) => {
                // The check goes on if the request that waits for it is dropped.
                let own = self.clone();
                let run = async move { own.run(check, ended, Some(failed)).await };
                let task = self.executor.spawn(run);
                let (sender, done) = async_channel::bounded::<()>(1);
                self.executor
                    .spawn(async move {
                        task.await;
                        drop(sender);
                    })
                    .detach();
                done.recv().await.unwrap_or_default();
                self.links.is_isolated(service)
            }
        }
    }

    /// Starts the checks that are due.
    pub(crate) fn start_due(&self) {
        for (check, ended) in self.links.take_due_checks(BootClock.now()) {
            let own = self.clone();
            let run = async move { own.run(check, ended, None).await };
            self.executor.spawn(run).detach();
        }
    }

    /// Records a new connection of a request to a target.
    pub(crate) fn connected(&self, service: &ServiceName) {
        let change = self.links.connected(BootClock.now(), service);
        self.apply(service, change);
    }

    async fn run(&self, check: DueCheck, ended: Sender<()>, except: Option<SocketAddr>) {
        let targets = self.links.witnesses(&check, except);
        let outcome = match targets.is_empty() {
            true => CheckOutcome::NoTargets,
            false if self.connect_to_any(&targets).await => CheckOutcome::Reached,
            false => CheckOutcome::Unreachable,
        };
        let change = self.links.check_ended(BootClock.now(), &check.service, outcome);
        self.apply(&check.service, change);
        drop(ended);
    }

    /// Connects to targets until one connection is open; returns whether one is.
    async fn connect_to_any(&self, targets: &[SocketAddr]) -> bool {
        let (sender, results) = async_channel::bounded(targets.len());
        let connects = targets.iter().enumerate().map(|(index, &address)| {
            let (connections, sender) = (self.connections.clone(), sender.clone());
            let connect = async move {
                if index >= FIRST_CONNECTIONS {
                    Timer::after(FOLLOWING_DELAY).await;
                }
                let opened = connections.connect(address).await;
                let is_open = opened.is_ok();
                if let Ok(connection) = opened {
                    connections.put(address, connection, None);
                }
                sender.send(is_open).await.unwrap_or_default();
            };
            self.executor.spawn(connect)
        });
        let _connects: Vec<Task<()>> = connects.collect();
        drop(sender);
        while let Ok(is_open) = results.recv().await {
            if is_open {
                return true;
            }
        }
        false
    }

    fn apply(&self, service: &ServiceName, change: Option<LinkChange>) {
        let Some(change) = change else { return };
        let is_isolated = change == LinkChange::Isolated;
        info!(self.log, "links to targets"; "service" => service.as_str(),
            "isolated" => is_isolated);
        self.metrics.isolated.set(i64::from(self.links.is_isolated_from_any()));
        // The control thread runs as long as the process, so a send cannot fail.
        self.events.try_send(ControlEvent::LinksChanged).unwrap_or_default();
    }
}
