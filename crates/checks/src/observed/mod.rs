//! Observations from outside the system.

mod answer;
mod ids;
mod observation;

pub use answer::{Answer, Piece};
pub use ids::{CallId, OperationId};
pub use observation::Observation;
