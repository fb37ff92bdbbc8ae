use celeryhaven_policy::TargetKey;
use celeryhaven_types::{Idempotency, RequestClass, RequestHead, TimeMs, Verdict};

use crate::entry::Attempt;

/// Processing stage of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for the state of its key, or for another request with the same key.
    Keyed,
    /// Delegated to another entry.
    Delegated,
    /// Held by the policy: queued or running at a target.
    Admitted,
}

/// The current attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Running {
    pub(crate) attempt: Attempt,
    pub(crate) target: TargetKey,
    /// Whether the response head arrived.
    pub(crate) started: bool,
    /// Set by a cancel: when the attempt counts as failed without a report from the driver.
    pub(crate) cancelled_until: Option<TimeMs>,
}

/// An active request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    /// When the caller's deadline expires.
    pub(crate) deadline_at: TimeMs,
    pub(crate) stage: Stage,
    /// Whether a key guards it against running twice.
    pub(crate) keyed: bool,
    /// Number of the latest attempt.
    pub(crate) attempt: Attempt,
    /// The current attempt of a request.
    pub(crate) running: Option<Running>,
    /// Tokens delivered to the caller.
    pub(crate) delivered_tokens: u32,
    /// Whether a completed attempt may have run.
    pub(crate) may_have_run: bool,
    /// Whether further attempts are forbidden.
    pub(crate) is_final: bool,
    /// Whether its caller disconnected; it continues for a retry with the same key.
    pub(crate) caller_disconnected: bool,
}

impl Request {
    /// Creates a request that arrived at `now`.
    pub(crate) fn new(now: TimeMs, head: RequestHead) -> Self {
        Self {
            deadline_at: now.after(head.deadline_in_ms),
            head,
            stage: Stage::Keyed,
            keyed: false,
            attempt: Attempt::new(0),
            running: None,
            delivered_tokens: 0,
            may_have_run: false,
            is_final: false,
            caller_disconnected: false,
        }
    }

    /// Whether it must run at most once.
    pub(crate) fn is_non_idempotent(&self) -> bool {
        self.head.idempotency == Idempotency::NonIdempotent
    }

    /// Returns the running attempt if it has this number.
    pub(crate) fn running_as(&mut self, attempt: Attempt) -> Option<&mut Running> {
        self.running.as_mut().filter(|running| running.attempt == attempt)
    }

    /// Returns the verdict if the request completes without an answer now.
    ///
    /// An attempt passed to the driver counts as run until the driver reports that no byte was
    /// sent, because the driver runs on another thread.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.may_have_run || self.running.is_some() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Completes the running attempt without a whole answer.
    ///
    /// An attempt that may have run is the last one if the request is not idempotent, or if part of
    /// a plain answer was delivered, because a second answer cannot continue the first. A token
    /// stream is resumed elsewhere, because engines can resume at a token.
    pub(crate) fn complete_attempt(&mut self, verdict: Verdict) {
        let Some(running) = self.running.take() else { return };
        if verdict != Verdict::MayHaveRun {
            return;
        }
        let is_plain = matches!(self.head.class, RequestClass::Plain { .. });
        self.may_have_run = true;
        self.is_final |= self.is_non_idempotent() || (is_plain && running.started);
    }
}
