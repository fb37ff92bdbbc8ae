use celeryhaven_stand_ins::caller::Outcome;

use crate::load::History;

/// What many callers were told.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests.
    pub requests: usize,
    /// Requests that ended with the whole answer to the caller's own request.
    pub answered: usize,
    /// Requests that got another's answer or a wrong one.
    pub foreign: usize,
    /// Replies that broke off.
    pub broken: usize,
    /// Replies that said the request was not run.
    pub not_run: usize,
    /// Other refusals.
    pub refused: usize,
    /// Tries that found nobody listening.
    pub unreachable: usize,
    /// Tries after the first.
    pub retries: usize,
}

impl Tally {
    /// Counts what callers were told.
    pub fn new(histories: &[History]) -> Self {
        let replies = || histories.iter().flat_map(|history| &history.replies);
        let count = |outcome: Outcome| replies().filter(|reply| reply.outcome == outcome).count();
        let not_run = replies().filter(|reply| reply.not_run()).count();
        Self {
            requests: histories.len(),
            answered: histories.iter().filter(|history| history.answered()).count(),
            foreign: histories.iter().filter(|history| history.foreign()).count(),
            broken: count(Outcome::Broken),
            not_run,
            refused: count(Outcome::Refused) - not_run,
            unreachable: count(Outcome::Unreachable),
            retries: replies().count().saturating_sub(histories.len()),
        }
    }
}
