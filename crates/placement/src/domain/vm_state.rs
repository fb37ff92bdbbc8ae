use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{MemberReport, TimeMs};

const RESTARTS_RECORDED_MAX: usize = 8;

state! {
    /// Whether a VM may be assigned to a replica.
    #[derive(Copy, Eq)]
    pub enum VmAvailability {
        /// May be assigned.
        Available,
        /// Drained by an operator.
        Drained,
        /// About to be stopped by the platform.
        Leaving,
    }

    /// A member's report and the time of its poll.
    pub struct TimedReport {
        /// When the poll was sent, from which the age of the report counts.
        pub polled_at: TimeMs,
        /// The report.
        pub report: MemberReport,
    }

    /// State of a VM as observed by the lease holder of its fabric domain.
    pub struct VmState {
        /// Address of its engine.
        pub address: SocketAddr,
        /// Number of its accelerators.
        pub accelerators: u32,
        /// Whether it is in the VM list.
        pub listed: bool,
        /// Whether it may be assigned to a replica.
        pub availability: VmAvailability,
        /// Its last report.
        pub report: Option<TimedReport>,
        /// Times of its latest observed restarts, oldest first.
        pub restarted_at: Vec<TimeMs>,
        /// When the latest failed poll was sent.
        pub poll_failed_at: Option<TimeMs>,
        /// When the latest answered poll was sent, or when this holder first listed the VM.
        pub last_contact: TimeMs,
    }
}

impl VmState {
    /// Creates the state of a listed VM without a report.
    pub const fn new(now: TimeMs, address: SocketAddr, accelerators: u32) -> Self {
        Self {
            address,
            accelerators,
            listed: true,
            availability: VmAvailability::Available,
            report: None,
            restarted_at: Vec::new(),
            poll_failed_at: None,
            last_contact: now,
        }
    }

    /// Applies a report; drops it if a later poll has already been answered.
    pub fn apply_report(&mut self, polled_at: TimeMs, report: MemberReport) {
        if self.report.as_ref().is_some_and(|timed| timed.polled_at > polled_at) {
            return;
        }
        if self.report.as_ref().is_some_and(|timed| timed.report.boot != report.boot) {
            self.restarted_at.push(polled_at);
            self.restarted_at
                .drain(..self.restarted_at.len().saturating_sub(RESTARTS_RECORDED_MAX));
        }
        self.last_contact = self.last_contact.max(polled_at);
        self.report = Some(TimedReport { polled_at, report });
    }

    /// Returns the number of restarts observed within the last `span_ms`.
    pub fn restarts_within(&self, now: TimeMs, span_ms: u64) -> u32 {
        self.restarted_at.iter().filter(|at| now.since(**at) < span_ms).count() as u32
    }

    /// Records that the poll sent at `polled_at` failed.
    pub fn record_poll_failure(&mut self, polled_at: TimeMs) {
        self.poll_failed_at = self.poll_failed_at.max(Some(polled_at));
    }

    /// Returns when the latest completed poll, answered or failed, was sent.
    pub fn last_completed_poll(&self) -> Option<TimeMs> {
        self.poll_failed_at.max(self.report.as_ref().map(|timed| timed.polled_at))
    }

    /// Returns the last report if it is younger than `life_ms` and no later poll has failed.
    pub fn fresh_report(&self, now: TimeMs, life_ms: u64) -> Option<&TimedReport> {
        let timed = self.report.as_ref().filter(|timed| now.since(timed.polled_at) < life_ms);
        timed.filter(|timed| {
            self.poll_failed_at.is_none_or(|poll_failed_at| poll_failed_at < timed.polled_at)
        })
    }
}
