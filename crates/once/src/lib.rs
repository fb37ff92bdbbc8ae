//! At-most-once request keys, without I/O.
//!
//! Callers may retry a request at any node, and nodes share no memory. A request that must not run
//! twice carries an idempotency key, and exactly one process may run each key:
//!
//! - an **issued** key is owned by the incarnation (node and boot) that issued it; every other node
//!   delegates the request to it. This needs neither the store nor consensus; if the incarnation is
//!   unreachable, the request is refused as "may have run".
//! - a **caller-chosen** key is owned by the incarnation that first created its claim object in the
//!   Object API.
//!
//! | module | contents |
//! |---|---|
//! | [`key`] | text form of issued keys, and the issuer that creates and verifies them |
//! | [`ledger`] | execution state of each key in one process: running, answered, may have run |
//! | [`claims`] | claim objects for caller-chosen keys |
//! | [`guard`] | [`Once`], which combines the three behind one method per event |
//!
//! [`Once`] has no clock, socket or thread: the embedding program executes the actions it returns.
//!
//! `examples/lost_answer.rs` shows a retry after a lost answer:
//! `cargo run -p celeryhaven-once --example lost_answer`.

pub mod claims;
pub mod guard;
pub mod key;
pub mod ledger;

pub use claims::Claim;
pub use guard::{KeyedRequest, Once, OnceAction, OnceCall, OnceSettings};
pub use key::{KeyIssuer, ParseKeyError, RequestKey};
pub use ledger::{EnterOutcome, Ledger, LedgerLimits};
