//! At-most-once guard with one method per event.

mod action;
mod keyed_request;
mod once;
mod present;
mod settings;

pub use action::{OnceAction, OnceCall};
pub use keyed_request::KeyedRequest;
pub use once::Once;
pub use settings::OnceSettings;
