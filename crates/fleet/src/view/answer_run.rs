use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Consecutive answers that close their connection after which a target is leaving.
///
/// Every answer of a leaving target closes its connection, and single answers of others do.
const CLOSING_ANSWERS: u32 = 2;

state! {
    /// What the latest answers of a target show.
    ///
    /// ```
    /// use celeryhaven_fleet::AnswerRun;
    /// use celeryhaven_types::TimeMs;
    ///
    /// let mut answers = AnswerRun::default();
    /// answers.observe(TimeMs::new(1), true);
    /// assert!(!answers.shows_leaving());
    /// answers.observe(TimeMs::new(2), true);
    /// assert!(answers.shows_leaving());
    /// ```
    #[derive(Copy, Eq, Default)]
    pub struct AnswerRun {
        last_at: Option<TimeMs>,
        /// Answers that closed their connection since the last one that did not.
        closing: u32,
        /// Time of the last answer that left its connection open.
        last_open_at: Option<TimeMs>,
    }
}

impl AnswerRun {
    /// Adds an answer; `closes` tells whether it closed its connection.
    pub fn observe(&mut self, now: TimeMs, closes: bool) {
        self.last_at = self.last_at.max(Some(now));
        self.closing = if closes { self.closing.saturating_add(1) } else { 0 };
        if !closes {
            self.last_open_at = self.last_open_at.max(Some(now));
        }
    }

    /// Adds answers that came after these.
    pub fn append(&mut self, later: &Self) {
        self.last_at = self.last_at.max(later.last_at);
        self.closing = match later.last_open_at {
            Some(_) => later.closing,
            None => self.closing.saturating_add(later.closing),
        };
        self.last_open_at = self.last_open_at.max(later.last_open_at);
    }

    /// Returns the time of the last answer.
    pub fn last_at(&self) -> Option<TimeMs> {
        self.last_at
    }

    /// Returns the time of the last answer that left its connection open.
    pub fn last_open_at(&self) -> Option<TimeMs> {
        self.last_open_at
    }

    /// Returns the number of closing answers since the last one that left its connection open.
    pub fn closing(&self) -> u32 {
        self.closing
    }

    /// Whether the target is leaving.
    pub fn shows_leaving(&self) -> bool {
        self.closing >= CLOSING_ANSWERS
    }
}
