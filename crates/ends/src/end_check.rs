use std::collections::BTreeMap;
use std::time::Duration;

use celeryhaven_types::{NodeName, TimeMs};

use crate::{EndVerdict, Evidence, Finding, Listing};

/// Time from the beginning of a check within which an accepted connection is one of the same process,
/// in milliseconds; later, a restarted one may listen in its place.
const RESTART_MS_MIN: u64 = 350;

/// Times after a question at which a refusal decides, unless a peer reaches the target: while half of the
/// peers have answered, and however many have.
pub const DECISION_TIMES: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(150)];

/// Time that peers have to answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 300;

/// Times from the beginning of a check at which peers are asked, in milliseconds.
const ROUNDS_AT_MS: [u64; 4] = [0, 400, 1_200, 2_800];

/// Time after which the platform no longer lists a target that has ended, in milliseconds.
///
/// An entry lapses after three reports of its target, about 3.6 s.
const LAPSE_MS: u64 = 6_000;

/// Time after which an unsettled check ends, in milliseconds.
const GIVE_UP_MS: u64 = 20_000;

/// Time within which the platform lists another start of a target that has accepted a connection
/// since, in milliseconds.
const RELIST_MS: u64 = 1_000;

/// Age up to which a decision is taken back that refusals alone have brought about, in milliseconds.
const REOPEN_MS: u64 = 1_000;

/// Nodes that a target must refuse so that no further ones are asked.
const REFUSALS_ENOUGH: usize = 3;

/// Time for which a decided check answers for other requests at the same target, and takes answers that
/// contradict the decision, in milliseconds.
const DECIDED_RETENTION_MS: u64 = 5_000;

/// What is known of the end of one process.
#[derive(Clone, Debug)]
pub(crate) struct EndCheck {
    began_at: TimeMs,
    own: Finding,
    /// Whether a connection to the target broke, rather than being given up.
    is_broken: bool,
    peers: BTreeMap<NodeName, Finding>,
    /// Rounds of questions that have begun, and when the last one did.
    rounds: usize,
    round_at: Option<TimeMs>,
    /// Peers that were asked in the last round, and those that have answered.
    asked: usize,
    answered: usize,
    /// Whether any node was refused a connection.
    pub(crate) is_refused: bool,
    accepted_early: bool,
    /// When the target first accepted a connection that may be one of another start.
    accepted_late_at: Option<TimeMs>,
    listing: Listing,
    listed_since: Option<TimeMs>,
    has_restarted: bool,
    decided: Option<(TimeMs, EndVerdict)>,
    /// The verdict that was last taken.
    pub(crate) taken: Option<EndVerdict>,
}

impl EndCheck {
    pub(crate) fn new(now: TimeMs) -> Self {
        Self {
            began_at: now,
            own: Finding::Unreachable,
            is_broken: false,
            peers: BTreeMap::new(),
            rounds: 0,
            round_at: None,
            asked: 0,
            answered: 0,
            is_refused: false,
            accepted_early: false,
            accepted_late_at: None,
            listing: Listing::Unknown,
            listed_since: None,
            has_restarted: false,
            decided: None,
            taken: None,
        }
    }

    /// Records what this node has found.
    pub(crate) fn record_own(&mut self, now: TimeMs, finding: Finding, is_broken: bool) {
        self.is_broken |= is_broken;
        // A lost path does not take back what was found before.
        if finding.is_telling() {
            self.own = finding;
        }
        self.record(now, finding);
    }

    /// Records what a peer has found; `None` if it has not answered.
    pub(crate) fn record_peer(&mut self, now: TimeMs, node: &NodeName, finding: Option<Finding>) {
        self.answered += 1;
        let Some(finding) = finding else { return };
        if finding.is_telling() {
            self.peers.insert(node.clone(), finding);
        }
        self.record(now, finding);
    }

    fn record(&mut self, now: TimeMs, finding: Finding) {
        let is_early = now.since(self.began_at) < RESTART_MS_MIN;
        self.accepted_early |= finding == Finding::Accepted && is_early;
        if finding == Finding::Accepted && !is_early {
            self.accepted_late_at.get_or_insert(now);
        }
        self.has_restarted |= finding == Finding::Restarted;
        self.is_refused |= finding.is_refusal();
    }

    pub(crate) fn record_listing(&mut self, now: TimeMs, listing: Listing) {
        self.listing = listing;
        self.has_restarted |= listing == Listing::Restarted;
        self.listed_since = match listing {
            Listing::Same => Some(self.listed_since.unwrap_or(now)),
            _ => None,
        };
    }

    /// Begins a round of questions if one is due; returns whether it is.
    pub(crate) fn begin_round(&mut self, now: TimeMs) -> bool {
        let due_ms = ROUNDS_AT_MS.get(self.rounds);
        let is_due =
            !self.is_certain() && due_ms.is_some_and(|due_ms| now.since(self.began_at) >= *due_ms);
        if is_due {
            self.rounds += 1;
            self.round_at = Some(now);
            (self.asked, self.answered) = (0, 0);
        }
        is_due
    }

    /// Whether the round that has begun is not the first.
    pub(crate) fn is_repeated(&self) -> bool {
        self.rounds > 1
    }

    pub(crate) fn set_asked(&mut self, peers: usize) {
        self.asked = peers;
    }

    /// Whether the process refuses connections and may have ended, and its check began within `within_ms`.
    pub(crate) fn may_have_ended(&self, now: TimeMs, within_ms: u64) -> bool {
        let is_settled = self.decided.is_some_and(|(_, verdict)| !verdict.is_by_refusal());
        let is_reached = self.accepted_early || self.accepted_late_at.is_some();
        let is_listed = matches!(self.listing, Listing::Same | Listing::Unknown);
        let may_have_ended = self.is_refused && is_listed && !is_reached && !is_settled;
        may_have_ended && now.since(self.began_at) < within_ms
    }

    /// Takes a decision back that refusals alone have brought about, as those of many targets at once
    /// do not show ends.
    pub(crate) fn reopen(&mut self, now: TimeMs) {
        let is_recent = |at: TimeMs| now.since(at) < REOPEN_MS;
        if self.decided.is_some_and(|(at, verdict)| verdict.is_by_refusal() && is_recent(at)) {
            self.decided = None;
        }
    }

    /// Whether the check can be removed.
    pub(crate) fn has_expired(&self, now: TimeMs) -> bool {
        self.decided.is_some_and(|(at, verdict)| {
            !matches!(verdict, EndVerdict::Ended(_)) || now.since(at) >= DECIDED_RETENTION_MS
        })
    }

    /// Whether no answer of a peer can change the decision.
    fn is_certain(&self) -> bool {
        let refused = self.peers.values().filter(|found| **found == Finding::Refused).count();
        let refused = refused + usize::from(self.own == Finding::Refused);
        let is_enough = refused >= REFUSALS_ENOUGH;
        self.decided.is_some_and(|(_, verdict)| is_enough || !verdict.is_by_refusal())
    }

    /// Whether a node reaches the target, whose entry names the same start also some time after.
    fn goes_on(&self, now: TimeMs) -> bool {
        let is_listed = self.listing == Listing::Same;
        is_listed && self.accepted_late_at.is_some_and(|at| now.since(at) >= RELIST_MS)
    }

    /// Returns what is known by now; `None` before the first answers.
    ///
    /// Few refusals may be those of paths, so an end that they have decided is taken back once a node
    /// reaches the target.
    ///
    /// If `is_doubtful`, refusals show nothing.
    pub(crate) fn verdict(&mut self, now: TimeMs, is_doubtful: bool) -> Option<EndVerdict> {
        match self.decided {
            Some((_, verdict)) if self.is_certain() || !self.goes_on(now) => return Some(verdict),
            _ => {}
        }
        let verdict = self.weigh(now, is_doubtful)?;
        self.decided = verdict.is_final().then_some((now, verdict));
        Some(verdict)
    }

    fn weigh(&self, now: TimeMs, is_doubtful: bool) -> Option<EndVerdict> {
        if self.has_restarted {
            return Some(EndVerdict::Ended(Evidence::Restarted));
        }
        if self.accepted_early || self.goes_on(now) {
            return Some(EndVerdict::NotEnded(Evidence::Accepted));
        }
        let round_ms = now.since(self.round_at?);
        let is_round_over = self.answered >= self.asked || round_ms >= ANSWER_TIMEOUT_MS;
        let is_refused_to_peer = self.peers.values().any(|found| *found == Finding::Refused);
        let [half_ms, any_ms] = DECISION_TIMES.map(|time| time.as_millis() as u64);
        let is_half_answered = 2 * self.answered >= self.asked;
        let has_waited =
            is_round_over || round_ms >= any_ms || (round_ms >= half_ms && is_half_answered);
        if is_refused_to_peer && has_waited && !is_doubtful {
            return Some(EndVerdict::Ended(Evidence::RefusedToPeer));
        }
        if self.own == Finding::Refused && is_round_over && !is_doubtful {
            return Some(EndVerdict::Ended(Evidence::Refused));
        }
        if self.listed_since.is_some_and(|since| now.since(since) >= LAPSE_MS) {
            return Some(EndVerdict::NotEnded(Evidence::Listed));
        }
        let age_ms = now.since(self.began_at);
        if self.listing == Listing::Missing && age_ms >= LAPSE_MS {
            let is_gone = self.is_broken && self.accepted_late_at.is_none();
            return Some(match is_gone {
                true => EndVerdict::Ended(Evidence::Gone),
                false => EndVerdict::NotEnded(Evidence::Nothing),
            });
        }
        if age_ms >= GIVE_UP_MS {
            return Some(EndVerdict::NotEnded(Evidence::Nothing));
        }
        is_round_over.then_some(EndVerdict::Unsettled)
    }
}
