use std::time::{Duration, Instant};

use celeryhaven_policy::QuietReplica;
use celeryhaven_types::TimeMs;
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::traffic::{DestinationName, Dispatcher, TrafficReport};

/// Shortest time between two checks, in milliseconds.
const CHECK_INTERVAL_MIN_MS: u64 = 5;

/// Delay of a check after which this node counts as having paused, in milliseconds: events of replicas
/// may wait to be read.
const LATE_MS: u64 = 20;

/// Shortest time between two log lines on quiet replicas, in milliseconds.
const LOG_INTERVAL_MS: u64 = 100;

/// When replicas were last checked for pauses, and what was logged.
#[derive(Debug)]
pub(super) struct QuietCheck {
    was_late: bool,
    logged_at: Option<TimeMs>,
    /// Replicas that have become quiet since the last log line.
    unlogged: u32,
}

impl QuietCheck {
    pub(super) const fn new() -> Self {
        Self { was_late: false, logged_at: None, unlogged: 0 }
    }
}

impl<A: Adapter> Dispatcher<A> {
    /// Checks for quiet replicas whenever one is due, until `tick_at`.
    pub(super) async fn check_quiet_until(&self, check: &mut QuietCheck, tick_at: Instant) {
        loop {
            let left = tick_at.saturating_duration_since(Instant::now());
            let now = self.now();
            let due_ms = self.state.borrow().next_quiet_check(now).map(|at| at.since(now));
            let due = due_ms.map(|ms| Duration::from_millis(ms.max(CHECK_INTERVAL_MIN_MS)));
            let wait = due.map_or(left, |due| due.min(left));
            Timer::after(wait).await;
            let late = self.now().since(now).saturating_sub(wait.as_millis() as u64);
            // A check after a pause of this node would find all replicas quiet.
            check.was_late = late > LATE_MS && !check.was_late;
            if due.is_some() && !check.was_late {
                self.check_quiet(check);
            }
            if Instant::now() >= tick_at {
                return;
            }
        }
    }

    fn check_quiet(&self, check: &mut QuietCheck) {
        let now = self.now();
        let unknown = self.link_check.links.unknown_services();
        let found = self.state.borrow_mut().detect_quiet(now, &unknown);
        for replica in &found {
            self.metrics.quiet_replicas.inc();
            self.log_quiet(now, check, replica);
        }
        // What a peer has told is not passed on.
        let own = found.into_iter().filter(|replica| !replica.is_told);
        let own = own.filter_map(|replica| match replica.name {
            DestinationName::Replica(key) => Some(key),
            _ => None,
        });
        let own: Vec<_> = own.collect();
        if !own.is_empty() {
            self.notify_control(TrafficReport::Quiet(own));
        }
    }

    fn log_quiet(
        &self,
        now: TimeMs,
        check: &mut QuietCheck,
        replica: &QuietReplica<DestinationName>,
    ) {
        if check.logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL_MS) {
            check.unlogged += 1;
            return;
        }
        check.logged_at = Some(now);
        let generation = match &replica.name {
            DestinationName::Replica(key) => Some(key.generation.get()),
            _ => None,
        };
        info!(self.log, "replica quiet"; "replica" => replica.name.as_str(),
            "generation" => generation, "silent_ms" => replica.silent_ms,
            "threshold_ms" => replica.threshold_ms, "told_by_peer" => replica.is_told,
            "others" => std::mem::take(&mut check.unlogged));
    }
}
