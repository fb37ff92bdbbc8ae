//! Ends of targets under this node's requests, and what other nodes know of them.

mod answering;
mod checking;
mod ends_state;
mod messages;
mod telling;

pub(super) use ends_state::Ends;
pub(crate) use messages::{EndAnswer, EndQuestion, SeenCrashes};

/// Maximum number of peers that are asked about an end, and told of a crash.
const PEERS_MAX: usize = 8;

/// Maximum number of ends in one question, and of contents of each.
const ENDS_PER_QUESTION: usize = 16;
const CONTENTS_PER_END: usize = 24;

/// Time for which a peer counts an end as unsettled that it was asked about, in milliseconds: somewhat
/// longer than the next question takes, at first and later.
const ASKED_FIRST_MS: u64 = 500;
const ASKED_AGAIN_MS: u64 = 1_700;

/// Time in which a peer finds out about an end, in milliseconds: at first it answers at once, as the
/// answer for one end waits for those for others; later it may try a second connection.
const FIND_FIRST_MS: u64 = 40;
const FIND_AGAIN_MS: u64 = 200;
