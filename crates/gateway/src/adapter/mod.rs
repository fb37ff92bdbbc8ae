//! What a platform's adapter translates: names and shapes, and nothing else.

mod adapter_trait;
mod messages;
mod parse_error;

pub use adapter_trait::Adapter;
pub use messages::{
    AddressAnswer, AnswerHead, CallerHead, Paths, ReportedLoad, TargetCall, TargetRequestHead,
};
pub use parse_error::ParseError;
