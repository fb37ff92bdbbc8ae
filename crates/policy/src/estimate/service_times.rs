use celeryhaven_derives::state;

use crate::estimate::Mean;

/// Uncached prompt tokens from which a first token updates the prefill rate.
const PREFILL_TOKENS_MIN: f64 = 64.0;

/// Number of utilisation buckets with separate estimates, because a full batch is slower than a
/// light one.
///
/// Times learned from light batches are half of those of full ones, so twice too much would be
/// admitted when load rises within a second. Each of four buckets is learned within a few seconds
/// of such load.
const UTILISATION_BUCKETS: usize = 4;

/// Assumed growth from one utilisation bucket to the next that has no samples.
///
/// A decode step of a full batch takes up to twice that of a light one; a prompt there also waits
/// for those before it, about four times.
const UNSAMPLED_DECODE_GROWTH: f64 = 1.2;
const UNSAMPLED_PREFILL_GROWTH: f64 = 1.6;

state! {
    /// Service times of one class of targets, learned from answers by utilisation.
    #[derive(Copy)]
    pub(crate) struct ServiceTimes {
        base_ms: [Mean; UTILISATION_BUCKETS],
        prefill_ms_per_token: [Mean; UTILISATION_BUCKETS],
        decode_ms_per_token: [Mean; UTILISATION_BUCKETS],
    }
}

impl ServiceTimes {
    pub(crate) fn new(base_ms: f64, prefill_ms_per_token: f64, decode_ms_per_token: f64) -> Self {
        Self {
            base_ms: buckets(base_ms),
            prefill_ms_per_token: buckets(prefill_ms_per_token),
            decode_ms_per_token: buckets(decode_ms_per_token),
        }
    }

    pub(crate) fn first_token_ms(&self, utilisation: f64, uncached_tokens: f64) -> f64 {
        estimate_at(&self.base_ms, UNSAMPLED_DECODE_GROWTH, utilisation, Mean::value)
            + self.prefill_ms(utilisation, uncached_tokens)
    }

    pub(crate) fn service_ms(
        &self,
        utilisation: f64,
        uncached_tokens: f64,
        output_tokens: f64,
    ) -> f64 {
        self.first_token_ms(utilisation, uncached_tokens)
            + self.decode_ms(utilisation, output_tokens)
    }

    /// A service time that most requests stay below.
    pub(crate) fn high_ms(
        &self,
        utilisation: f64,
        uncached_tokens: f64,
        output_tokens: f64,
    ) -> f64 {
        estimate_at(&self.base_ms, UNSAMPLED_DECODE_GROWTH, utilisation, Mean::high)
            + uncached_tokens
                * estimate_at(
                    &self.prefill_ms_per_token,
                    UNSAMPLED_PREFILL_GROWTH,
                    utilisation,
                    Mean::high,
                )
            + output_tokens
                * estimate_at(
                    &self.decode_ms_per_token,
                    UNSAMPLED_DECODE_GROWTH,
                    utilisation,
                    Mean::high,
                )
    }

    pub(crate) fn prefill_ms(&self, utilisation: f64, tokens: f64) -> f64 {
        tokens
            * estimate_at(
                &self.prefill_ms_per_token,
                UNSAMPLED_PREFILL_GROWTH,
                utilisation,
                Mean::value,
            )
    }

    pub(crate) fn decode_ms(&self, utilisation: f64, tokens: f64) -> f64 {
        tokens
            * estimate_at(
                &self.decode_ms_per_token,
                UNSAMPLED_DECODE_GROWTH,
                utilisation,
                Mean::value,
            )
    }

    pub(crate) fn learn_first_token(
        &mut self,
        utilisation: f64,
        uncached_tokens: f64,
        elapsed_ms: f64,
    ) {
        if uncached_tokens < PREFILL_TOKENS_MIN {
            self.base_ms[bucket(utilisation)].add(elapsed_ms);
        } else {
            let prefill_ms = (elapsed_ms
                - estimate_at(&self.base_ms, UNSAMPLED_DECODE_GROWTH, utilisation, Mean::value))
            .max(0.0);
            self.prefill_ms_per_token[bucket(utilisation)].add(prefill_ms / uncached_tokens);
        }
    }

    pub(crate) fn learn_decode(&mut self, utilisation: f64, output_tokens: u32, elapsed_ms: f64) {
        if output_tokens > 1 {
            self.decode_ms_per_token[bucket(utilisation)]
                .add(elapsed_ms / f64::from(output_tokens - 1));
        }
    }
}

fn buckets(prior: f64) -> [Mean; UTILISATION_BUCKETS] {
    [Mean::new(prior); UTILISATION_BUCKETS]
}

fn bucket(utilisation: f64) -> usize {
    ((utilisation * UTILISATION_BUCKETS as f64) as usize).min(UTILISATION_BUCKETS - 1)
}

/// Returns the estimate at this utilisation, or extrapolates from the nearest lower bucket that has
/// samples.
fn estimate_at(
    means: &[Mean; UTILISATION_BUCKETS],
    growth: f64,
    utilisation: f64,
    statistic: impl Fn(&Mean) -> f64,
) -> f64 {
    let wanted = bucket(utilisation);
    let sampled = (0..=wanted).rev().find(|&bucket| means[bucket].has_samples());
    sampled.map_or_else(
        || statistic(&means[wanted]),
        |bucket| statistic(&means[bucket]) * growth.powi((wanted - bucket) as i32),
    )
}
