use celeryhaven_types::TimeMs;

use crate::fair::FairPolicy;
use crate::fair::fleet::splitmix64;
use crate::fair::request::{Pick, RequestState};
use crate::interface::TargetKey;
use crate::targets::TargetSet;

/// Number of random candidates. The better of two balances load although all entries see the same
/// outdated reports, at a cost independent of the number of targets.
const RANDOM_CANDIDATES: usize = 2;

/// Number of candidates of a request with a choice key.
const RANKED_CANDIDATES: usize = 2;

/// Maximum number of candidates that cache the prefix, and of those that have the adapter.
const CACHED_CANDIDATES_MAX: usize = 4;

/// Fraction of the decode time that a full batch adds to that of an idle target.
const BATCH_SLOWDOWN: f64 = 0.5;

/// Difference of a plain target's latency ratio from one that does not count.
///
/// Nothing else tells plain targets apart. A strict order by the noise of a few answers would leave
/// the last of them almost without requests, and so without answers that could correct it.
const PLAIN_RATIO_NOISE: f64 = 0.01;

impl FairPolicy {
    /// Picks the candidate with the least expected latency, or the first of several that are equal.
    pub(crate) fn pick(&mut self, now: TimeMs, request: &RequestState) -> Option<Pick> {
        let candidates = self.candidates(request);
        self.pick_visits += candidates.len() as u64;
        candidates
            .into_iter()
            .filter_map(|target| self.score_ms(now, request, target))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, pick)| pick)
    }

    fn candidates(&mut self, request: &RequestState) -> Vec<TargetKey> {
        let class = &self.classes[request.class.get() as usize];
        let adapter_targets = request.adapter.and_then(|key| class.adapter_targets.get(&key));
        let prefix_targets = class.prefixes.longest_prefix_targets(&request.blocks).iter();
        let mut candidates: Vec<_> = prefix_targets
            .take(CACHED_CANDIDATES_MAX)
            .chain(adapter_targets.into_iter().flatten().take(CACHED_CANDIDATES_MAX))
            .copied()
            .filter(|&target| class.available.contains(target))
            .collect();
        let pool = if class.available.is_empty() { &class.healthy } else { &class.available };
        // Completions weigh the target to avoid against others that hold their prefix.
        let avoid = request.avoid.filter(|_| class.is_plain);
        match request.choice_key {
            Some(key) => candidates.extend(self.first_ranked(pool, key, request.avoid)),
            None => {
                for _ in 0..RANDOM_CANDIDATES {
                    candidates.extend(pool.sample(&mut self.rng, avoid));
                }
            }
        }
        if candidates.iter().any(|&target| Some(target) != request.avoid) {
            candidates.retain(|&target| Some(target) != request.avoid);
        }
        candidates
    }

    /// Returns the targets that come first in the ranking of a key, which is the same at every node.
    ///
    /// Nodes that do not know yet that a request ends its targets send all its copies to these.
    pub(crate) fn first_ranked(
        &self,
        pool: &TargetSet,
        key: u64,
        avoid: Option<TargetKey>,
    ) -> impl Iterator<Item = TargetKey> + use<> {
        let avoid = avoid.filter(|avoid| pool.iter().any(|target| target != *avoid));
        let mut first = [None::<(u64, TargetKey)>; RANKED_CANDIDATES];
        for target in pool.iter().filter(|target| Some(*target) != avoid) {
            let Some(state) = self.targets.get(&target) else { continue };
            let ranked = Some((splitmix64(key ^ state.identity), target));
            if let Some(place) = first.iter().position(|other| *other < ranked) {
                first[place..].rotate_right(1);
                first[place] = ranked;
            }
        }
        first.into_iter().flatten().map(|(_, target)| target)
    }

    /// Scores a target by the expected time to the first token and the slowdown by its batch.
    pub(crate) fn score_ms(
        &self,
        now: TimeMs,
        request: &RequestState,
        target_key: TargetKey,
    ) -> Option<(f64, Pick)> {
        let class = &self.classes[request.class.get() as usize];
        let target = self.targets.get(&target_key)?;
        let prefix_len = class.prefixes.prefix_len_at(target_key, &request.blocks) as f64;
        let cached = prefix_len / request.blocks.len().max(1) as f64;
        let uncached = f64::from(request.prompt_tokens) * (1.0 - cached);
        let utilisation = target.utilisation(now, class.average());
        let prefill_tokens = uncached + target.prefill_tokens_queued as f64;
        let queued_ms = class.times.prefill_ms(utilisation, prefill_tokens);
        let adapter_load_ms = class.adapter_load_ms.value();
        let loads_adapter =
            request.adapter.is_some_and(|key| !target.has_adapter(now, key, adapter_load_ms));
        let load_ms = if loads_adapter { adapter_load_ms } else { 0.0 };
        let output = class.output_lengths.expected(request.flow, request.output_tokens_max);
        let batch_ms = class.times.decode_ms(utilisation, output) * BATCH_SLOWDOWN * utilisation;
        let ratio = target.health.ratio().max(0.5);
        let is_noise = class.is_plain && (ratio - 1.0).abs() <= PLAIN_RATIO_NOISE;
        let service_ms = (queued_ms + batch_ms) * if is_noise { 1.0 } else { ratio };
        let pick = Pick { target: target_key, uncached_tokens: uncached, loads_adapter };
        Some((service_ms + load_ms + 2.0 * target.distance_ms, pick))
    }
}
