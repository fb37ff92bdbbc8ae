//! Events, decisions and the trait of a request policy.

mod decision;
mod event;
mod keys;
mod request_policy;
mod retry_denial;
mod target;

pub use decision::Decision;
pub use event::PolicyEvent;
pub use keys::{TargetKey, Ticket};
pub use request_policy::RequestPolicy;
pub use retry_denial::RetryDenial;
pub use target::{TargetLoad, TargetProfile};
