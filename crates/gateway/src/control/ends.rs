use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use celeryhaven_derives::data;
use celeryhaven_ends::{DECISION_TIMES, EndChecks, EndVerdict, Finding, Listing, TargetProcess};
use celeryhaven_fleet::FleetView;
use celeryhaven_quarantine::{CauseDigest, CrashRecord, Hold, UnsettledEnds};
use celeryhaven_types::{NodeName, TimeMs};
use slog::{info, warn};
use smol::Timer;

use crate::adapter::Adapter;
use crate::control::event::ControlEvent;
use crate::control::relay::{PeerAddress, ask_ends, send_crashes};
use crate::control::{CalledTarget, Control};
use crate::traffic::EndQuery;

/// Maximum number of peers that are asked about an end, and told of a crash.
const PEERS_MAX: usize = 8;

/// Maximum number of ends in one question, of contents of each, and of crashes in one message.
const ENDS_PER_QUESTION: usize = 16;
const CONTENTS_PER_END: usize = 24;
const CRASHES_PER_MESSAGE: usize = 16;

/// Time for which a peer counts an end as unsettled that it was asked about, in milliseconds: somewhat
/// longer than the next question takes, at first and later.
const ASKED_FIRST_MS: u64 = 500;
const ASKED_AGAIN_MS: u64 = 1_700;

/// Time in which a peer finds out about an end, in milliseconds: at first it answers at once, as the
/// answer for one end waits for those for others; later it may try a second connection.
const FIND_FIRST_MS: u64 = 40;
const FIND_AGAIN_MS: u64 = 200;

/// Time for which a node counts an end as unsettled that it checks itself, in milliseconds.
const CHECKED_MS_MAX: u64 = 20_000;

data! {
    /// What a node wants to know of ends of targets.
    pub(crate) struct EndQuestion {
        pub(crate) ends: Vec<AskedEnd>,
        /// How long the contents count as unsettled.
        pub(crate) unsettled_ms: u64,
        /// How long finding out may take.
        pub(crate) find_ms: u64,
    }

    /// An end of a target, and the contents that it was running.
    pub(crate) struct AskedEnd {
        pub(crate) process: TargetProcess,
        pub(crate) contents: Vec<CauseDigest>,
        /// Whether it has refused a connection.
        pub(crate) is_refused: bool,
    }

    /// What a node has found of the ends that it was asked about, in their order.
    pub(crate) struct EndAnswer {
        pub(crate) findings: Vec<Finding>,
    }

    /// What a node has seen of causes of crashes.
    pub(crate) struct SeenCrashes {
        pub(crate) records: Vec<(CauseDigest, CrashRecord)>,
    }
}

/// A process whose end is checked.
#[derive(Debug, Default)]
struct Watched {
    /// Requests that wait for the verdict, with their contents.
    waiting: Vec<(Sender<EndVerdict>, Option<CauseDigest>)>,
    /// Address and number of the last report in its entry: where no start time is listed, these show
    /// another start.
    entry: Option<(SocketAddr, Option<u64>)>,
}

/// Ends of targets that are not settled yet.
#[derive(Debug, Default)]
pub(super) struct Ends {
    checks: EndChecks,
    watched: BTreeMap<TargetProcess, Watched>,
    unsettled: UnsettledEnds<TargetProcess>,
    /// Contents that are held meanwhile.
    pub(super) held: Arc<BTreeMap<CauseDigest, Hold>>,
}

impl Ends {
    /// Returns the contents that a process was running, as far as requests wait for the verdict on it.
    fn contents(&self, process: &TargetProcess) -> Vec<CauseDigest> {
        let waiting = self.watched.get(process).into_iter().flat_map(|watched| &watched.waiting);
        let contents: BTreeSet<_> = waiting.filter_map(|(_, content)| *content).collect();
        contents.into_iter().take(CONTENTS_PER_END).collect()
    }
}

impl<A: Adapter> Control<A> {
    /// Begins to check whether a target of this node's traffic has ended.
    pub(super) fn check_end(&mut self, now: TimeMs, query: EndQuery, reply: Sender<EndVerdict>) {
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
    pub(super) fn process_ends(&mut self, now: TimeMs) {
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
    fn called(&self, process: &TargetProcess) -> Option<CalledTarget> {
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
                // The request waits for two verdicts at most, which both fit.
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
    pub(super) fn record_found(&mut self, now: TimeMs, process: &TargetProcess, finding: Finding) {
        self.ends.checks.found(now, process, finding);
    }

    /// Records what a peer has answered.
    pub(super) fn record_answers(
        &mut self,
        now: TimeMs,
        node: &NodeName,
        answers: Vec<(TargetProcess, Option<Finding>)>,
    ) {
        for (process, finding) in answers {
            self.ends.checks.answered(now, &process, node, finding);
        }
    }

    /// Finds out for another node whether targets have ended.
    pub(super) fn answer_question(
        &mut self,
        now: TimeMs,
        question: EndQuestion,
        reply: Sender<EndAnswer>,
    ) {
        let until = now.after(question.unsettled_ms.min(ASKED_AGAIN_MS));
        let mut finds = Vec::new();
        for asked in question.ends.into_iter().take(ENDS_PER_QUESTION) {
            let AskedEnd { process, contents, is_refused } = asked;
            if is_refused {
                self.ends.checks.heard(now, &process);
            }
            for digest in contents.into_iter().take(CONTENTS_PER_END) {
                self.ends.unsettled.record(digest, process.clone(), until);
            }
            let listing = listing(&self.fleet, &process, self.store_unavailable);
            finds.push((listing, self.called(&process), process));
        }
        let (client, events) = (self.parts.target_client.clone(), self.parts.events.0.clone());
        let executor = self.executor.clone();
        let find_time = Duration::from_millis(question.find_ms.min(FIND_AGAIN_MS));
        let find_all = async move {
            let finding = finds.into_iter().map(|(listing, called, process)| {
                let (client, events) = (client.clone(), events.clone());
                executor.spawn(async move {
                    let finding = match (listing, called) {
                        (Listing::Restarted, _) => Finding::Restarted,
                        (_, Some(called)) => client.find(&called, find_time).await,
                        (_, None) => Finding::Unreachable,
                    };
                    if finding == Finding::Accepted {
                        events.send(ControlEvent::EndSettled(process)).await.unwrap_or_default();
                    }
                    finding
                })
            });
            let mut findings = Vec::new();
            for finding in finding.collect::<Vec<_>>() {
                findings.push(finding.await);
            }
            reply.send(EndAnswer { findings }).await.unwrap_or_default();
        };
        self.executor.spawn(find_all).detach();
    }

    /// Records that an end that another node asked about is settled.
    pub(super) fn record_settled(&mut self, process: &TargetProcess) {
        self.ends.unsettled.settle(process);
        self.ends.checks.settle_heard(process);
    }

    /// Applies what another node has seen of causes of crashes; answers what this one knows of these.
    pub(super) fn learn_crashes(
        &mut self,
        now: TimeMs,
        seen: SeenCrashes,
        reply: Option<Sender<SeenCrashes>>,
    ) {
        for (digest, record) in &seen.records {
            for crash in &record.crashes {
                let (name, started_at_ms) = (crash.target.clone(), crash.started_at_ms);
                self.ends.unsettled.settle(&TargetProcess { name, started_at_ms });
            }
            self.quarantine.learn(now, *digest, record);
        }
        if let Some(reply) = reply {
            let digests = seen.records.iter().map(|(digest, _)| *digest);
            let known =
                digests.filter_map(|digest| Some((digest, self.quarantine.record(digest)?)));
            let known = known.take(CRASHES_PER_MESSAGE).collect();
            reply.try_send(SeenCrashes { records: known }).unwrap_or_default();
        }
        self.update_standings(now);
    }

    /// Tells peers what this node has seen of causes of crashes, before the store holds it.
    pub(super) fn tell_crashes(&self, now: TimeMs, additions: &[(CauseDigest, CrashRecord)]) {
        if additions.is_empty() {
            return;
        }
        let advertised = self.peers.advertised(now);
        let peers: Vec<_> =
            advertised.map(|(record, _)| PeerAddress::of(record)).take(PEERS_MAX).collect();
        // What other nodes have seen goes along, as a message between them may have been lost.
        let known = additions.iter().map(|(digest, addition)| {
            let known = self.quarantine.record(*digest);
            (*digest, known.unwrap_or_else(|| addition.clone()))
        });
        let known: Vec<_> = known.collect();
        for records in known.chunks(CRASHES_PER_MESSAGE) {
            let seen = SeenCrashes { records: records.to_vec() };
            for peer in &peers {
                let connections = self.parts.target_client.connections.clone();
                let (peer, seen, log) = (peer.clone(), seen.clone(), self.parts.log.clone());
                let events = self.parts.events.0.clone();
                let tell = async move {
                    let Some(known) = send_crashes(&connections, &peer, &seen).await else {
                        warn!(log, "peer not told of crashes"; "peer" => peer.address.to_string());
                        return;
                    };
                    let learned = ControlEvent::CrashesSeen(known, None);
                    events.send(learned).await.unwrap_or_default();
                };
                self.executor.spawn(tell).detach();
            }
        }
    }
}

/// Returns what the platform lists of a process.
fn listing(fleet: &FleetView, process: &TargetProcess, is_store_away: bool) -> Listing {
    let entry = fleet.target(&process.name);
    let has_restarted = entry.is_some_and(|entry| {
        entry.started_at_ms.is_some() && entry.started_at_ms != process.started_at_ms
    });
    match entry {
        Some(_) if has_restarted => Listing::Restarted,
        _ if is_store_away || fleet.is_lapsed(&process.name) => Listing::Unknown,
        Some(_) => Listing::Same,
        None => Listing::Missing,
    }
}
