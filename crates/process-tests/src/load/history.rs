use celeryhaven_stand_ins::caller::{Outcome, Reply};

/// Every reply to one request of one caller, in order; the last one is what it ended with.
#[derive(Clone, Debug)]
pub struct History {
    /// What names the request: its prompt, or its body.
    pub marker: String,
    /// The replies.
    pub replies: Vec<Reply>,
}

impl History {
    /// Whether the caller got the whole answer to its own request in the end.
    pub fn answered(&self) -> bool {
        self.replies.last().is_some_and(Reply::whole)
    }

    /// Whether an answer was another's or not as it must be.
    pub fn foreign(&self) -> bool {
        self.replies.iter().any(|reply| reply.outcome == Outcome::Foreign)
    }

    /// Whether the caller was told every time that its request was not run.
    pub fn never_run(&self) -> bool {
        let told = |reply: &Reply| reply.not_run() || reply.outcome == Outcome::Unreachable;
        !self.replies.is_empty() && self.replies.iter().all(told)
    }
}
