use celeryhaven_node::{Attempt, AttemptEvent, EntryEvent, KeyUse};
use celeryhaven_policy::Ticket;
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
};

use crate::fleet::declared::{MODEL, ORGANISATION};

/// How long a target takes for an answer, and its tokens: 1.6 million a second of 8,200 requests.
const ANSWER_MS: u64 = 4_000;
const ANSWER_TOKENS: u32 = 195;
/// Times that a driver reports progress during an answer.
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
        prompt_tokens: 400,
        output_tokens_max: 400,
        prefix_hashes: (0..8).map(|block| ticket * 8 + block).collect(),
    };
    EntryEvent::Arrived { ticket: Ticket::new(ticket), head, key: KeyUse::None, delegated: false }
}

/// What a driver reports of an attempt that goes well, with the delay of each event.
pub(crate) fn answer(ticket: Ticket, attempt: Attempt) -> Vec<(u64, EntryEvent)> {
    let told = |event| EntryEvent::Attempt { ticket, attempt, event };
    let tokens = ANSWER_TOKENS / PROGRESS_REPORTS;
    let progress = (1..=u64::from(PROGRESS_REPORTS)).map(|report| {
        let at_ms = ANSWER_MS * report / (u64::from(PROGRESS_REPORTS) + 1);
        (at_ms, told(AttemptEvent::Progress { tokens }))
    });
    [(0, told(AttemptEvent::Sent)), (200, told(AttemptEvent::Started))]
        .into_iter()
        .chain(progress)
        .chain([(ANSWER_MS, told(AttemptEvent::Finished))])
        .collect()
}
