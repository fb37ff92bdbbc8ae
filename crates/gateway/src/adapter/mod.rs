//! Translation between a platform and the gateway.

mod adapter_trait;
mod answer_identity;
mod messages;
mod parse_error;

pub use adapter_trait::Adapter;
pub use answer_identity::AnswerIdentity;
pub use messages::{
    AddressAnswer, AnswerHead, CallerHead, LimitHeader, Paths, ReportedLoad, TargetCall,
    TargetRequestHead,
};
pub use parse_error::ParseError;
