//! What a platform's adapter translates: names and shapes, and nothing else.

mod adapter_trait;
mod messages;
mod unreadable;

pub use adapter_trait::Adapter;
pub use messages::{
    AddressAnswer, AnswerHead, CallerHead, Paths, ReportedLoad, Sending, TargetCall,
};
pub use unreadable::Unreadable;
