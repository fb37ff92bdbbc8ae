use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{MemberReport, TimeMs};

/// Restarts of one VM that are remembered.
const RESTARTS_KEPT: usize = 8;

state! {
    /// Whether a VM may be given to a replica.
    #[derive(Copy, Eq)]
    pub enum VmAvailability {
        /// It stays.
        Available,
        /// An operator is emptying it.
        Drained,
        /// The platform will stop it soon.
        Leaving,
    }

    /// A member's report and when it was asked for.
    pub struct TimedReport {
        /// When the poll was sent; its answer is as old as that.
        pub polled_at: TimeMs,
        /// The report.
        pub report: MemberReport,
    }

    /// What the holder of a fabric domain knows of one of its VMs.
    pub struct VmState {
        /// Where its engine answers.
        pub address: SocketAddr,
        /// Accelerators it holds.
        pub accelerators: u32,
        /// Whether the VM list shows it.
        pub listed: bool,
        /// Whether it may be given to a replica.
        pub availability: VmAvailability,
        /// Its last report.
        pub report: Option<TimedReport>,
        /// When its last restarts were seen, the newest last.
        pub restarted_at: Vec<TimeMs>,
        /// When the last poll that failed was sent.
        pub poll_failed_at: Option<TimeMs>,
        /// When it was last heard, or when this holder first knew of it.
        pub last_contact: TimeMs,
    }
}

impl VmState {
    /// A VM of the VM list that has not been heard yet.
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

    /// Takes a report in; one of an earlier poll that comes last is dropped.
    pub fn apply_report(&mut self, polled_at: TimeMs, report: MemberReport) {
        if self.report.as_ref().is_some_and(|seen| seen.polled_at > polled_at) {
            return;
        }
        if self.report.as_ref().is_some_and(|seen| seen.report.boot != report.boot) {
            self.restarted_at.push(polled_at);
            self.restarted_at.drain(..self.restarted_at.len().saturating_sub(RESTARTS_KEPT));
        }
        self.last_contact = self.last_contact.max(polled_at);
        self.report = Some(TimedReport { polled_at, report });
    }

    /// Restarts seen within a span.
    pub fn restarts_within(&self, now: TimeMs, span_ms: u64) -> u32 {
        self.restarted_at.iter().filter(|at| now.since(**at) < span_ms).count() as u32
    }

    /// Notes that a poll got no answer.
    pub fn record_poll_failure(&mut self, polled_at: TimeMs) {
        self.poll_failed_at = self.poll_failed_at.max(Some(polled_at));
    }

    /// When the last poll whose end is known was sent, whether it was answered or not.
    pub fn last_completed_poll(&self) -> Option<TimeMs> {
        self.poll_failed_at.max(self.report.as_ref().map(|seen| seen.polled_at))
    }

    /// The last report if it is not older than `life_ms` and no later poll failed.
    pub fn fresh_report(&self, now: TimeMs, life_ms: u64) -> Option<&TimedReport> {
        let seen = self.report.as_ref().filter(|seen| now.since(seen.polled_at) < life_ms);
        seen.filter(|seen| {
            self.poll_failed_at.is_none_or(|poll_failed_at| poll_failed_at < seen.polled_at)
        })
    }
}
