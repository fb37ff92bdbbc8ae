//! What requests are expected to cost, learned from those that ended.

mod mean;
mod output_tokens;
mod recent;
mod service_times;

pub(crate) use mean::Mean;
pub(crate) use output_tokens::OutputTokens;
pub(crate) use recent::Recent;
pub(crate) use service_times::ServiceTimes;
