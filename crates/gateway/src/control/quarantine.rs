use std::sync::Arc;

use async_channel::Sender;
use celeryhaven_fleet::TargetPhase;
use celeryhaven_quarantine::{
    CauseDigest, CauseKind, Crash, CrashRecord, QuarantineWrite, Standing,
};
use celeryhaven_records::WriteOutcome;
use celeryhaven_types::{OrganisationName, TimeMs};
use slog::{info, warn};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::advisories::cause_key;
use crate::control::counted_store::StoreCallKind;
use crate::control::event::ControlEvent;
use crate::control::shared_records::write_record;
use crate::traffic::CrashReport;

impl<A: Adapter> Control<A> {
    /// Records crashes that this node's traffic has seen, unless the target had announced its end or a
    /// quarantined cause explains it.
    pub(super) fn report_crashes(&mut self, now: TimeMs, crashes: Vec<CrashReport>) {
        let mut additions = Vec::new();
        for report in crashes {
            let crash = Crash {
                target: report.target.clone(),
                started_at_ms: report.started_at_ms,
                node: self.parts.settings.node.clone(),
                refuted: false,
                excused: report.excused,
                outlived: false,
            };
            if let Some(why) = self.excuse(&report, &crash) {
                info!(self.parts.log, "end not attributed"; "digest" => report.digest.to_string(),
                    "target" => report.target.as_str(), "why" => why);
                continue;
            }
            self.log_crash(&report);
            self.quarantine.note_seen(report.broken_at, report.digest, &crash);
            let addition = CrashRecord {
                kind: report.kind,
                organisation: report.organisation,
                route: report.route,
                crashes: vec![crash],
                ..CrashRecord::default()
            };
            additions.push((report.digest, addition));
        }
        self.report(now, &additions);
    }

    /// Returns why the end of a target is not held against what it was running, if so.
    fn excuse(&self, report: &CrashReport, crash: &Crash) -> Option<&'static str> {
        let entry = self.fleet.target(&report.target);
        if entry.is_some_and(|entry| entry.phase == TargetPhase::Draining) {
            return Some("draining");
        }
        // What is suspected already, and a part that no target has run, may be what explains the end
        // after all.
        let is_new_content =
            report.kind == CauseKind::Content && self.quarantine.record(report.digest).is_none();
        let is_unlikely = report.excused || is_new_content;
        let is_explained = is_unlikely && self.quarantine.is_explained(report.digest, crash);
        is_explained.then_some("explained")
    }

    fn log_crash(&self, report: &CrashReport) {
        self.parts.metrics.crash_reports.inc();
        info!(self.parts.log, "crash reported"; "digest" => report.digest.to_string(),
            "kind" => format!("{:?}", report.kind), "excused" => report.excused,
            "target" => report.target.as_str(), "started_at_ms" => report.started_at_ms,
            "route" => &report.route,
            "organisation" => report.organisation.as_ref().map(OrganisationName::as_str));
    }

    /// Records that a run of a suspected cause has completed, which had begun at `sent_at`.
    pub(super) fn report_completed(&mut self, now: TimeMs, digest: CauseDigest, sent_at: TimeMs) {
        if let Some(addition) = self.quarantine.refutation(digest, sent_at) {
            self.report(now, &[(digest, addition)]);
        }
    }

    /// Adds to the records what this node has seen.
    pub(super) fn report(&mut self, now: TimeMs, additions: &[(CauseDigest, CrashRecord)]) {
        for (digest, addition) in additions {
            if !self.quarantine.report(now, *digest, addition) {
                warn!(self.parts.log, "crash report dropped"; "digest" => digest.to_string());
            }
        }
        self.tell_crashes(now, additions);
        self.write_quarantine(now);
        self.update_standings(now);
    }

    /// Claims a trial of a quarantined request for this node; answers whether it succeeded.
    pub(super) fn claim_trial(&mut self, now: TimeMs, digest: CauseDigest, reply: Sender<bool>) {
        let Some(write) = self.quarantine.claim_trial(now, digest) else {
            return reply.try_send(false).unwrap_or_default();
        };
        let (store, events) = (self.store.clone(), self.parts.events.0.clone());
        let log = self.parts.log.clone();
        let claim = async move {
            let outcome =
                write_record(&store, StoreCallKind::Advisories, cause_key(*write.key()), &write)
                    .await;
            let is_granted = matches!(outcome, WriteOutcome::Written(_));
            info!(log, "quarantine trial"; "digest" => digest.to_string(), "granted" => is_granted);
            reply.try_send(is_granted).unwrap_or_default();
            events.send(ControlEvent::QuarantineWritten(write, outcome)).await.unwrap_or_default();
        };
        self.executor.spawn(claim).detach();
    }

    /// Starts the writes that are due.
    ///
    /// Reports wait while the store is unavailable: each rejected call counts against its rate.
    pub(super) fn write_quarantine(&mut self, now: TimeMs) {
        if self.store_unavailable {
            return;
        }
        let removes_expired = self.feed_conditions.relays.borrow().is_empty();
        let writes = self.quarantine.due_writes(now, removes_expired);
        self.log_lost_records(&writes);
        for write in writes {
            let (store, events) = (self.store.clone(), self.parts.events.0.clone());
            let execute = async move {
                let outcome = write_record(
                    &store,
                    StoreCallKind::Advisories,
                    cause_key(*write.key()),
                    &write,
                )
                .await;
                let event = ControlEvent::QuarantineWritten(write, outcome);
                events.send(event).await.unwrap_or_default();
            };
            self.executor.spawn(execute).detach();
        }
    }

    /// Logs the records that are removed, and those that find no room.
    fn log_lost_records(&mut self, writes: &[QuarantineWrite]) {
        let records = self.quarantine.stored_mut().len();
        for write in writes.iter().filter(|write| matches!(write, QuarantineWrite::Delete { .. })) {
            let record = self.quarantine.record(*write.key());
            info!(self.parts.log, "crash record removed"; "digest" => write.key().to_string(),
                "crashes" => record.map(|record| record.crashes.len()), "records" => records);
        }
        for digest in self.quarantine.take_without_room() {
            warn!(self.parts.log, "no room for crash record"; "digest" => digest.to_string(),
                "records" => records);
        }
    }

    /// Applies the outcome of a write.
    pub(super) fn record_quarantine_write(
        &mut self,
        now: TimeMs,
        write: &QuarantineWrite,
        outcome: WriteOutcome<CrashRecord>,
    ) {
        self.quarantine.written(now, write, outcome);
        self.write_quarantine(now);
        self.update_standings(now);
    }

    /// Updates the standings for traffic, and logs what has changed.
    pub(super) fn update_standings(&mut self, now: TimeMs) {
        self.quarantine.note_learned(now);
        let standings = self.quarantine.standings();
        if standings == *self.standings {
            return;
        }
        let is_quarantined = |standing: Option<&Standing>| {
            standing.is_some_and(|standing| standing.is_quarantined())
        };
        for digest in standings.keys() {
            if is_quarantined(standings.get(digest)) && !is_quarantined(self.standings.get(digest))
            {
                self.log_quarantined(*digest);
            }
        }
        for digest in self.standings.keys() {
            if is_quarantined(self.standings.get(digest)) && !is_quarantined(standings.get(digest))
            {
                let record = self.quarantine.record(*digest);
                let why = match record {
                    Some(record) if record.is_implicated() => "explained",
                    Some(_) => "completed",
                    None => "removed",
                };
                info!(self.parts.log, "quarantine lifted"; "digest" => digest.to_string(),
                    "why" => why);
            }
        }
        let quarantined = standings.values().filter(|standing| standing.is_quarantined()).count();
        self.parts.metrics.quarantined.set(quarantined as i64);
        self.standings = Arc::new(standings);
    }

    fn log_quarantined(&self, digest: CauseDigest) {
        let Some(record) = self.quarantine.record(digest) else { return };
        let crashes = record.crashes.iter();
        let crashes: Vec<_> =
            crashes.map(|crash| format!("{} by {}", crash.target, crash.node)).collect();
        warn!(self.parts.log, "request quarantined"; "digest" => digest.to_string(),
            "kind" => format!("{:?}", record.kind),
            "organisation" => record.organisation.as_ref().map(OrganisationName::as_str),
            "route" => &record.route, "crashes" => crashes.join(", "));
    }
}
