use celeryhaven_types::TimeMs;

use crate::fair::FairPolicy;
use crate::fair::request::{Pick, RequestState};
use crate::interface::TargetKey;

/// Targets drawn at random for one pick.
///
/// Load: several entries that see the same lagging reports. Harm: all of them send to the one that
/// looks least loaded. Limit: the better of two random ones already keeps the longest queue short,
/// and the cost does not grow with the fleet.
const RANDOM_CANDIDATES: usize = 2;

/// Targets looked at because they hold the prefix or the adapter.
const HOLDERS_LOOKED_AT: usize = 4;

/// Part of the decode time that a full batch adds to that of an idle target.
const BATCH_SLOWDOWN: f64 = 0.5;

impl FairPolicy {
    /// The target that should have the request's first tokens soonest, of a few.
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
        let adapter_holders = request.adapter.and_then(|key| class.adapter_holders.get(&key));
        let holders = class.prefixes.longest(&request.blocks).iter();
        let mut candidates: Vec<_> = holders
            .take(HOLDERS_LOOKED_AT)
            .chain(adapter_holders.into_iter().flatten().take(HOLDERS_LOOKED_AT))
            .copied()
            .filter(|&target| class.available.contains(target))
            .collect();
        let drawn = if class.available.is_empty() { &class.sound } else { &class.available };
        for _ in 0..RANDOM_CANDIDATES {
            candidates.extend(drawn.sample(&mut self.rng));
        }
        if candidates.iter().any(|&target| Some(target) != request.avoid) {
            candidates.retain(|&target| Some(target) != request.avoid);
        }
        candidates
    }

    /// Expected time to the first token and what a fuller batch adds.
    pub(crate) fn score_ms(
        &self,
        now: TimeMs,
        request: &RequestState,
        target_key: TargetKey,
    ) -> Option<(f64, Pick)> {
        let class = &self.classes[request.class.get() as usize];
        let target = self.targets.get(&target_key)?;
        let held = class.prefixes.held_by(target_key, &request.blocks) as f64;
        let cached = held / request.blocks.len().max(1) as f64;
        let uncached = f64::from(request.prompt_tokens) * (1.0 - cached);
        let fill = target.fill(now, class.usual());
        let prefill_tokens = uncached + target.prefill_tokens_queued as f64;
        let queued_ms = class.times.prefill_ms(fill, prefill_tokens);
        let adapter_load_ms = class.adapter_load_ms.value();
        let loads_adapter =
            request.adapter.is_some_and(|key| !target.has_adapter(now, key, adapter_load_ms));
        let load_ms = if loads_adapter { adapter_load_ms } else { 0.0 };
        let output = class.outputs.expected(request.flow, request.output_tokens_max);
        let batch_ms = class.times.decode_ms(fill, output) * BATCH_SLOWDOWN * fill;
        let service_ms = (queued_ms + batch_ms) * target.health.ratio().max(0.5);
        let pick = Pick { target: target_key, uncached_tokens: uncached, loads_adapter };
        Some((service_ms + load_ms + 2.0 * target.distance_ms, pick))
    }
}
