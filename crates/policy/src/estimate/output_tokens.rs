use celeryhaven_queue::FlowKey;
use celeryhaven_types::Map;

use crate::estimate::Mean;

/// Assumed fraction of the output limit, until the first answer.
const INITIAL_LIMIT_FRACTION: f64 = 0.5;

/// Estimated output length by organisation and by size class of the caller's limit.
///
/// The size class separates the short and the long requests of one organisation, whose common mean
/// would refuse short requests that fit their deadline and admit long ones that do not.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutputTokenEstimates {
    by_flow_and_size: Map<(FlowKey, u32), Mean>,
}

impl OutputTokenEstimates {
    pub(crate) fn expected(&self, flow: FlowKey, output_tokens_max: u32) -> f64 {
        let limit = f64::from(output_tokens_max);
        self.by_flow_and_size
            .get(&(flow, size_class(output_tokens_max)))
            .map_or(limit * INITIAL_LIMIT_FRACTION, Mean::value)
            .min(limit)
    }

    /// An output length that most answers stay below.
    pub(crate) fn high(&self, flow: FlowKey, output_tokens_max: u32) -> f64 {
        let limit = f64::from(output_tokens_max);
        self.by_flow_and_size
            .get(&(flow, size_class(output_tokens_max)))
            .map_or(limit, Mean::high)
            .min(limit)
    }

    pub(crate) fn learn(&mut self, flow: FlowKey, output_tokens_max: u32, output_tokens: u32) {
        let initial = f64::from(output_tokens_max) * INITIAL_LIMIT_FRACTION;
        self.by_flow_and_size
            .entry((flow, size_class(output_tokens_max)))
            .or_insert_with(|| Mean::new(initial))
            .add(f64::from(output_tokens));
    }
}

fn size_class(output_tokens_max: u32) -> u32 {
    output_tokens_max.max(1).ilog2()
}
