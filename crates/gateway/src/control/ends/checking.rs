use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use celeryhaven_ends::{DECISION_TIMES, EndVerdict, Finding, Listing, TargetProcess};
use celeryhaven_quarantine::CrashRecord;
use celeryhaven_types::{NodeName, TimeMs};
use slog::info;
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::ends::ends_state::{Ends, Watched, listing};
use crate::control::ends::messages::{AskedEnd, EndQuestion};
use crate::control::ends::{
    ASKED_AGAIN_MS, ASKED_FIRST_MS, ENDS_PER_QUESTION, FIND_AGAIN_MS, FIND_FIRST_MS, PEERS_MAX,
};
use crate::control::event::ControlEvent;
use crate::control::relay::{PeerAddress, ask_ends};
use crate::control::{CalledTarget, Control};
use crate::traffic::EndQuery;

/// Time for which a node counts an end as unsettled that it checks itself, in milliseconds.
const CHECKED_MS_MAX: u64 = 20_000;

/// Checks whether targets of this node's traffic have ended.
impl<A: Adapter> Control<A> {
    /// Begins to check whether a target of this node's traffic has ended.
    pub(in crate::control) fn check_end(
        &mut self,
        now: TimeMs,
        query: EndQuery,
        reply: Sender<EndVerdict>,
    ) {
        let EndQuery { process, found, is_broken, content } = query;
        if !self.ends.checks.begin(now, &process, found, is_broken) {
            return;
        }
        if let Some(content) = content {
            let until = now.after(CHECKED_MS_MAX);
            self.ends.unsettled.record(content, process.clone(), until);
        }
        self.ends.watched.entry(process).or_default().waiting.push((reply, content));
    }

    /// Asks peers about the ends whose turn it is, and passes on what has been settled.
    pub(in crate::control) fn process_ends(&mut self, now: TimeMs) {
        if !self.ends.checks.is_empty() {
            self.look_up_ends(now);
            self.ask_about_ends(now);
            self.pass_verdicts(now);
        }
        self.update_held(now);
    }

    fn look_up_ends(&mut self, now: TimeMs) {
        let (fleet, is_away) = (&self.fleet, self.store_unavailable);
        let Ends { checks, watched, .. } = &mut self.ends;
        watched.retain(|process, _| checks.contains(process));
        let mut listings = BTreeMap::new();
        for (process, Watched { entry: known, .. }) in watched {
            let listed = fleet.target(&process.name);
            let entry = listed.map(|entry| (entry.address, entry.report_number));
            let is_other = match (*known, entry) {
                (Some((address, report)), Some((listed, number))) => {
                    listed != address || number < report
                }
                _ => false,
            };
            let listing = match is_other {
                true => Listing::Restarted,
                false => listing(fleet, process, is_away),
            };
            *known = if is_other { *known } else { entry.or(*known) };
            listings.insert(process, listing);
        }
        let listing_of = |process: &TargetProcess| listings.get(process).copied();
        checks.look_up(now, |process| {
            listing_of(process).unwrap_or_else(|| listing(fleet, process, is_away))
        });
    }

    fn ask_about_ends(&mut self, now: TimeMs) {
        let due = self.ends.checks.take_due(now);
        if due.is_empty() {
            return;
        }
        let advertised = self.peers.advertised(now);
        let peers = advertised.map(|(record, _)| (record.node.clone(), PeerAddress::of(record)));
        let peers: Vec<_> = peers.take(PEERS_MAX).collect();
        for (process, is_repeated) in &due {
            self.ends.checks.asked(process, peers.len());
            if *is_repeated {
                self.find_again(process);
            }
        }
        for due in due.chunks(ENDS_PER_QUESTION) {
            let ends = due.iter().map(|(process, _)| AskedEnd {
                process: process.clone(),
                contents: self.ends.contents(process),
                is_refused: self.ends.checks.is_refused(process),
            });
            let is_first = due.iter().all(|(_, is_repeated)| !is_repeated);
            let (unsettled_ms, find_ms) = match is_first {
                true => (ASKED_FIRST_MS, FIND_FIRST_MS),
                false => (ASKED_AGAIN_MS, FIND_AGAIN_MS),
            };
            let question = EndQuestion { ends: ends.collect(), unsettled_ms, find_ms };
            peers.iter().for_each(|(node, peer)| self.ask_peer(node, peer, &question));
        }
        for time in DECISION_TIMES {
            let events = self.parts.events.0.clone();
            let wake = async move {
                Timer::after(time).await;
                events.send(ControlEvent::EndsDue).await.unwrap_or_default();
            };
            self.executor.spawn(wake).detach();
        }
    }

    fn ask_peer(&self, node: &NodeName, peer: &PeerAddress, question: &EndQuestion) {
        let (connections, events) =
            (self.parts.target_client.connections.clone(), self.parts.events.0.clone());
        let (node, peer, question) = (node.clone(), peer.clone(), question.clone());
        let ask = async move {
            let answer = ask_ends(&connections, &peer, &question).await;
            let findings = answer.map_or_else(Vec::new, |answer| answer.findings);
            let findings = findings.into_iter().map(Some).chain(std::iter::repeat(None));
            let processes = question.ends.into_iter().map(|end| end.process);
            let answers = processes.zip(findings).collect();
            events.send(ControlEvent::EndsAnswered(node, answers)).await.unwrap_or_default();
        };
        self.executor.spawn(ask).detach();
    }

    /// Connects to a target once more.
    fn find_again(&self, process: &TargetProcess) {
        let Some(called) = self.called(process) else { return };
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let process = process.clone();
        let find = async move {
            let finding = client.find(&called, Duration::from_millis(FIND_AGAIN_MS)).await;
            events.send(ControlEvent::EndFound(process, finding)).await.unwrap_or_default();
        };
        self.executor.spawn(find).detach();
    }

    /// Returns how to call a process; `None` if another start is listed, or nothing.
    pub(super) fn called(&self, process: &TargetProcess) -> Option<CalledTarget> {
        let entry = self.fleet.target_or_removed(&process.name)?;
        (entry.started_at_ms == process.started_at_ms).then(|| CalledTarget::new(entry))
    }

    fn pass_verdicts(&mut self, now: TimeMs) {
        for (process, verdict) in self.ends.checks.take_verdicts(now) {
            let watched = self.ends.watched.get_mut(&process);
            let waiting = watched.map_or_else(Vec::new, |watched| match verdict.is_final() {
                true => std::mem::take(&mut watched.waiting),
                false => watched.waiting.clone(),
            });
            for (reply, _) in waiting {
                reply.try_send(verdict).unwrap_or_default();
            }
            if verdict.is_final() {
                self.ends.unsettled.settle(&process);
            }
            if matches!(verdict, EndVerdict::NotEnded(_)) {
                self.retract(now, &process);
            }
        }
    }

    /// Takes back the crashes of a process that has not ended.
    fn retract(&mut self, now: TimeMs, process: &TargetProcess) {
        let retracted = self.quarantine.retraction(&process.name, process.started_at_ms);
        for (digest, _) in &retracted {
            info!(self.parts.log, "crash taken back"; "digest" => digest.to_string(),
                "target" => process.name.as_str());
        }
        self.report(now, &retracted);
    }

    /// Updates the contents that are held.
    fn update_held(&mut self, now: TimeMs) {
        let quarantine = &self.quarantine;
        let known_ends = |digest| {
            quarantine.record(digest).map_or(0, |record: CrashRecord| record.unrefuted_crashes())
        };
        let held = self.ends.unsettled.held(now, known_ends);
        if held != *self.ends.held {
            self.ends.held = Arc::new(held);
        }
    }

    /// Records what this node has found of a process since its check began.
    pub(in crate::control) fn record_found(
        &mut self,
        now: TimeMs,
        process: &TargetProcess,
        finding: Finding,
    ) {
        self.ends.checks.found(now, process, finding);
    }

    /// Records what a peer has answered.
    pub(in crate::control) fn record_answers(
        &mut self,
        now: TimeMs,
        node: &NodeName,
        answers: Vec<(TargetProcess, Option<Finding>)>,
    ) {
        for (process, finding) in answers {
            self.ends.checks.answered(now, &process, node, finding);
        }
    }
}
