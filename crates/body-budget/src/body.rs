use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;
use slotmap::new_key_type;

/// Longest body that counts as short, in bytes.
pub const SHORT_BYTES_MAX: u64 = 64 * 1024;

/// Bytes that a caller must send within [`CLAIM_MS`] to keep its claim, and within
/// [`SLOW_CALLER_MS`] not to be refused when others need the room.
const PROGRESS_BYTES: u64 = 64 * 1024;

/// Time without progress after which the claim of a body ends, in milliseconds.
const CLAIM_MS: u64 = 250;

/// Time without progress after which a body may be refused for others, in milliseconds.
const SLOW_CALLER_MS: u64 = 1_000;

/// Bytes that the kernel and the connection hold of a long body that is not complete.
const UNREAD_BYTES: u64 = 128 * 1024;

new_key_type! {
    /// Identifies a body of a [`BodyBudget`](crate::BodyBudget).
    pub struct BodyKey;
}

/// Identifies an organisation in a [`BodyBudget`](crate::BodyBudget).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationKey(pub(crate) u32);

state! {
    /// What is known of a body before it is read.
    #[derive(Copy, Eq)]
    pub struct BodyHead {
        /// Rank of its request; 0 is the most urgent.
        pub rank: u8,
        /// Organisation of its caller.
        pub organisation: OrganisationKey,
        /// Announced length; `None` if it is sent in chunks.
        pub length_bytes: Option<u64>,
        /// When its caller gives up.
        pub deadline: TimeMs,
        /// How long answers to such requests take, in milliseconds; `None` if that is not known.
        pub answer_ms: Option<u64>,
    }

    /// Whether a body counts as short.
    #[derive(Copy, Eq)]
    pub(crate) enum Length {
        Short,
        Long,
    }

    /// What happens to a body.
    #[derive(Copy, Eq)]
    pub(crate) enum Phase {
        /// It waits for room.
        Waiting,
        /// It is read.
        Reading,
        /// It is complete and held for its request.
        Held {
            /// When it was complete.
            since: TimeMs,
        },
        /// It was refused, and what was read of it has not been released yet.
        Refused,
    }
}

/// A body that a node holds, reads or lets wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Body {
    pub(crate) rank: u8,
    pub(crate) organisation: OrganisationKey,
    pub(crate) deadline: TimeMs,
    pub(crate) answer_ms: Option<u64>,
    pub(crate) arrived_at: TimeMs,
    /// Number of bodies that had arrived before.
    pub(crate) sequence: u64,
    pub(crate) phase: Phase,
    pub(crate) has_waited: bool,
    /// When it was last let be read.
    pub(crate) started_at: TimeMs,
    pub(crate) length: Length,
    /// Most bytes that it may have.
    pub(crate) need_bytes: u64,
    /// Bytes received and not released.
    pub(crate) held_bytes: u64,
    /// Whether the rest of it has a claim to room, unless its caller is slow.
    has_claim: bool,
    /// Bytes that had been received at the last progress, and when that was.
    marked_bytes: u64,
    progress_at: TimeMs,
}

impl Body {
    /// Creates a body that waits.
    pub(crate) fn new(now: TimeMs, head: &BodyHead, need_bytes: u64, sequence: u64) -> Self {
        let is_short = head.length_bytes.is_none() || need_bytes <= SHORT_BYTES_MAX;
        Self {
            rank: head.rank,
            organisation: head.organisation,
            deadline: head.deadline,
            answer_ms: head.answer_ms,
            arrived_at: now,
            sequence,
            phase: Phase::Waiting,
            has_waited: false,
            started_at: now,
            length: if is_short { Length::Short } else { Length::Long },
            need_bytes,
            held_bytes: 0,
            has_claim: false,
            marked_bytes: 0,
            progress_at: now,
        }
    }

    /// Returns the bytes that it uses without any claim.
    pub(crate) fn used_bytes(&self) -> u64 {
        match (self.phase, self.length) {
            (Phase::Waiting | Phase::Reading, Length::Long) => self.held_bytes + UNREAD_BYTES,
            (Phase::Reading, Length::Short) => self.need_bytes.min(SHORT_BYTES_MAX),
            _ => self.held_bytes,
        }
    }

    /// Returns the bytes that it needs beyond those that it uses, to be read to its end.
    pub(crate) fn missing_bytes(&self) -> u64 {
        match (self.phase, self.length) {
            (Phase::Waiting, Length::Short) => self.need_bytes.min(SHORT_BYTES_MAX),
            (Phase::Waiting | Phase::Reading, Length::Long) => {
                self.need_bytes.saturating_sub(self.held_bytes)
            }
            _ => 0,
        }
    }

    /// Returns the bytes that are kept free for its rest.
    pub(crate) fn claimed_bytes(&self, now: TimeMs) -> u64 {
        if self.is_claimed(now) { self.missing_bytes() } else { 0 }
    }

    /// Whether room is kept free for its rest.
    pub(crate) fn is_claimed(&self, now: TimeMs) -> bool {
        self.phase == Phase::Reading && self.has_claim && now.since(self.progress_at) < CLAIM_MS
    }

    /// Lets it be read, with a claim to its rest.
    pub(crate) fn start(&mut self, now: TimeMs) {
        self.phase = Phase::Reading;
        self.started_at = now;
        self.has_claim = true;
        (self.marked_bytes, self.progress_at) = (self.held_bytes, now);
    }

    /// Adds received bytes; returns whether its caller sends fast enough for a claim.
    pub(crate) fn receive(&mut self, now: TimeMs, bytes: u64) -> bool {
        self.held_bytes += bytes;
        if self.held_bytes - self.marked_bytes < PROGRESS_BYTES {
            return false;
        }
        let is_fast = now.since(self.progress_at) < CLAIM_MS;
        (self.marked_bytes, self.progress_at) = (self.held_bytes, now);
        self.has_claim &= is_fast;
        is_fast
    }

    /// Gives it a claim to its rest.
    pub(crate) fn claim(&mut self) {
        self.has_claim = true;
    }

    /// Whether its caller has sent too little lately.
    pub(crate) fn is_slow(&self, now: TimeMs) -> bool {
        self.phase == Phase::Reading && now.since(self.progress_at) >= SLOW_CALLER_MS
    }
}
