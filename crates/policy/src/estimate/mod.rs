//! Cost estimates, learned from completed requests.

mod mean;
mod output_tokens;
mod recent;
mod service_times;

pub(crate) use mean::Mean;
pub(crate) use output_tokens::OutputTokenEstimates;
pub(crate) use recent::RecentMean;
pub(crate) use service_times::ServiceTimes;
