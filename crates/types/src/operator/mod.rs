//! Operator requests to a controller, and its replies.

mod refusal;
mod reply;
mod request;
mod status;

pub use refusal::OperatorRefusal;
pub use reply::OperatorReply;
pub use request::OperatorRequest;
pub use status::{DataCentreStatus, DomainHealth, DomainStatus, LeaseStatus, StatusReport};
