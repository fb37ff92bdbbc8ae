use celeryhaven_node::{Attempt, AttemptEvent, EntryEvent, KeyUse};
use celeryhaven_policy::Ticket;
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
};

use crate::fleet::declared::{MODEL, ORGANISATION};

/// Duration of an answer, in milliseconds.
const ANSWER_MS: u64 = 4_000;
const ANSWER_TOKENS: u32 = 195;
/// Progress reports per answer.
const PROGRESS_REPORTS: u32 = 8;

pub(crate) fn arrival(ticket: u64) -> EntryEvent {
    let head = RequestHead {
        id: RequestId::new(format!("request-{ticket}")),
        organisation: OrganisationName::new(ORGANISATION),
        class: RequestClass::Completion { model: ModelName::new(MODEL), adapter: None },
        priority: Priority::new(1),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms: 20_000,
        start_within_ms: None,
        attempts_max: None,
        prompt_tokens: 400,
        output_tokens_max: 400,
        prefix_hashes: (0..8).map(|block| ticket * 8 + block).collect(),
        choice_key: None,
    };
    EntryEvent::Arrived { ticket: Ticket::new(ticket), head, key: KeyUse::None, delegated: false }
}

/// Returns the events of a successful attempt, each with its delay in milliseconds.
pub(crate) fn answer(ticket: Ticket, attempt: Attempt) -> Vec<(u64, EntryEvent)> {
    let attempt_event = |event| EntryEvent::Attempt { ticket, attempt, event };
    let tokens = ANSWER_TOKENS / PROGRESS_REPORTS;
    let progress = (1..=u64::from(PROGRESS_REPORTS)).map(|report| {
        let at_ms = ANSWER_MS * report / (u64::from(PROGRESS_REPORTS) + 1);
        (at_ms, attempt_event(AttemptEvent::Progress { tokens }))
    });
    [(0, attempt_event(AttemptEvent::Sent)), (200, attempt_event(AttemptEvent::Started))]
        .into_iter()
        .chain(progress)
        .chain([(ANSWER_MS, attempt_event(AttemptEvent::Finished))])
        .collect()
}
