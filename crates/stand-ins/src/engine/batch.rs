use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::{
    CacheEvents, EngineRun, EngineSettings, PrefixCache, RunLog, RunOutcome, Sequence,
};
use crate::http::unix_us;

/// Continuous batching on rank 0 of a formation, one step at a time.
#[derive(Debug)]
pub struct Batch {
    settings: EngineSettings,
    replica: String,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    events: CacheEvents,
    tokens_generated: u64,
    runs: Arc<RunLog>,
}

impl Batch {
    /// Creates an empty batch that records its runs in a log.
    pub fn new(settings: EngineSettings, runs: Arc<RunLog>) -> Self {
        let lag = Duration::from_millis(settings.cache_event_lag_ms);
        Self {
            replica: String::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(settings.cache_blocks_max),
            events: CacheEvents::new(lag, settings.cache_event_gap_every),
            tokens_generated: 0,
            settings,
            runs,
        }
    }

    /// Sets the replica name recorded for later runs.
    pub fn set_replica(&mut self, replica: &str) {
        self.replica = replica.to_owned();
    }

    /// Queues a request. Returns `false` if the queue is full.
    pub fn push(&mut self, sequence: Sequence) -> bool {
        let admitted = self.waiting.len() < self.settings.waiting_max;
        if admitted {
            self.waiting.push(sequence);
        }
        admitted
    }

    /// Assigns free slots to waiting requests by priority, then by age.
    pub fn admit(&mut self) {
        self.drop_abandoned();
        while self.running.len() < self.settings.slots && !self.waiting.is_empty() {
            let best = (0..self.waiting.len())
                .max_by_key(|index| (self.waiting[*index].completion.priority, usize::MAX - index))
                .unwrap_or(0);
            if self.kv_tokens() + self.waiting[best].kv_tokens() > self.settings.kv_tokens_max
                && !self.running.is_empty()
            {
                return;
            }
            let mut sequence = self.waiting.remove(best);
            sequence.skip_cached(self.cache.cached_prefix_len(&sequence.blocks));
            sequence.run_index = self.runs.start(EngineRun {
                request_id: sequence.id.clone(),
                replica: self.replica.clone(),
                prompt: sequence.completion.prompt.clone(),
                at_unix_us: unix_us(),
                tokens: 0,
                outcome: RunOutcome::Running,
            });
            self.running.push(sequence);
        }
    }

    /// Returns the duration of the next step, or `None` if no request is running.
    pub fn step_time(&self) -> Option<Duration> {
        if self.running.is_empty() {
            return None;
        }
        let prefill = self.prefill_tokens().min(self.settings.prefill_tokens_per_step);
        let running = self.running.len() as u64;
        let us = self.settings.decode_us
            + self.settings.decode_us_per_request * running
            + self.settings.prefill_us_per_token * prefill;
        Some(Duration::from_micros(us))
    }

    /// Executes a step: continues prefill, and generates a token for each prefilled request.
    pub fn step(&mut self, now: Instant) {
        let mut prefill_left = self.settings.prefill_tokens_per_step;
        for sequence in &mut self.running {
            if sequence.prefill_tokens_left > 0 {
                let done = sequence.prefill_tokens_left.min(prefill_left);
                sequence.prefill_tokens_left -= done;
                prefill_left -= done;
                if sequence.prefill_tokens_left > 0 {
                    continue;
                }
                self.events.push(now, self.cache.insert(&sequence.blocks));
            }
            if !sequence.complete() && sequence.generate_token() {
                self.tokens_generated += 1;
            }
        }
        let runs = &self.runs;
        self.running.retain_mut(|sequence| {
            let done = sequence.complete() && sequence.prefill_tokens_left == 0;
            if done {
                sequence.finish();
                runs.complete(sequence.run_index, sequence.tokens_made(), RunOutcome::Finished);
            } else if sequence.failed {
                runs.complete(sequence.run_index, sequence.tokens_made(), RunOutcome::Broken);
            }
            !done && !sequence.failed
        });
        self.drop_abandoned();
    }

    /// Cancels a request by its ID. Returns `false` if there is no such request.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.waiting.retain(|sequence| sequence.id != id);
        self.complete_running(RunOutcome::Cancelled, |sequence| sequence.id == id);
        before > self.running.len() + self.waiting.len()
    }

    /// Aborts all requests because the formation has failed.
    pub fn abort_all(&mut self) {
        for sequence in self.waiting.iter_mut().chain(&mut self.running) {
            sequence.fail();
        }
        self.waiting.clear();
        self.complete_running(RunOutcome::Broken, |_| true);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompt tokens that have not been prefilled.
    pub fn prefill_tokens(&self) -> u64 {
        let all = self.running.iter().chain(&self.waiting);
        all.map(|sequence| sequence.prefill_tokens_left).sum()
    }

    /// Returns the used share of the KV cache, in thousandths.
    pub fn kv_used_permille(&self) -> u32 {
        let permille = self.kv_tokens() * 1_000 / self.settings.kv_tokens_max.max(1);
        permille.min(1_000) as u32
    }

    /// Returns the number of tokens generated since the engine started.
    pub fn tokens_generated(&self) -> u64 {
        self.tokens_generated
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Imports prefix blocks that another engine has exported.
    pub fn import(&mut self, blocks: &[u64], now: Instant) {
        self.events.push(now, self.cache.insert(blocks));
    }

    /// Returns the published cache events.
    pub fn events(&self) -> &CacheEvents {
        &self.events
    }

    fn kv_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    fn drop_abandoned(&mut self) {
        self.waiting.retain(|sequence| !sequence.abandoned());
        self.complete_running(RunOutcome::Cancelled, Sequence::abandoned);
    }

    fn complete_running(&mut self, outcome: RunOutcome, matches: impl Fn(&Sequence) -> bool) {
        let runs = &self.runs;
        self.running.retain(|sequence| {
            let matched = matches(sequence);
            if matched {
                runs.complete(sequence.run_index, sequence.tokens_made(), outcome);
            }
            !matched
        });
    }
}
