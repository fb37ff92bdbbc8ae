use celeryhaven_derives::data;

data! {
    /// How entry nodes share the slots of their common targets.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Sharing {
        /// Each target belongs to one entry node, selected by hash; the others do not send to it.
        Owner {
            /// Index of this node among the senders, from zero.
            index: u32,
        },
        /// Each node has a fixed part of the slots of each target.
        Shares,
        /// Each node sends to targets whose last report plus its own sends since show a free slot.
        Sampling,
        /// Each node has a fixed part, and an even part of the slots that a report shows as free.
        Borrowing,
        /// Each node has a part of the slots of all targets together, at any that shows a free
        /// slot.
        ///
        /// For many nodes and few targets, where a fixed part of each target is less than one slot,
        /// and reports are too rare to rely on [`Sampling`](Self::Sampling) alone.
        Pooled,
    }

    /// Settings of [`FairPolicy`](super::FairPolicy).
    #[serde(deny_unknown_fields, default)]
    pub struct FairSettings {
        /// Seed of all random choices.
        pub seed: u64,
        /// How slots are shared among entry nodes.
        pub sharing: Sharing,
        /// Maximum number of waiting requests of a class.
        pub queue_entries_max: usize,
        /// Initial estimate of the first token delay without a prompt, in milliseconds.
        pub base_ms: f64,
        /// Initial estimate of the time to prefill one token, in milliseconds.
        pub prefill_ms_per_token: f64,
        /// Initial estimate of the time to generate one token, in milliseconds.
        pub decode_ms_per_token: f64,
        /// Initial estimate of the time to load an adapter, in milliseconds.
        pub adapter_load_ms: f64,
        /// Whether estimated waits are corrected by the ratio of actual to estimated slot times.
        pub wait_feedback: bool,
        /// Safety margin before the deadline, as a fraction of the mean deviation of a request's
        /// time.
        pub cost_margin: f64,
        /// Whether running requests are retried elsewhere when their target is ejected.
        pub move_off_ejected: bool,
        /// Whether a running attempt is cancelled once another target can take its request over.
        ///
        /// Otherwise the driver is told that its target is slow, and may begin a second attempt beside
        /// it: a silent target may go on.
        pub cancel_slow: bool,
        /// Number of requests of one organisation among which one with a cached prefix is
        /// preferred; one means strict order.
        pub look_ahead: usize,
        /// Whether costs include how often an indexed prefix is cached where a request runs.
        pub learn_prefix_hits: bool,
        /// Multiple of the expected first token delay after which an attempt is stuck.
        ///
        /// A paused or very slow target keeps its connections open, and its requests would wait
        /// until their deadlines. Full batches alone may double the delay.
        pub stuck_ratio: f64,
        /// Whether an answer that has begun is cancelled if the rest is expected after the
        /// deadline.
        ///
        /// It frees the slot for a request that can be in time. Turn it off if answers are
        /// streamed: they are often much shorter than the limit from which the rest is estimated.
        pub cancel_late_rest: bool,
        /// Whether a target that stops reporting is ejected.
        pub eject_silent: bool,
        /// Retries earned by each arrival; limits the load that retries add when many attempts
        /// fail.
        pub retry_earned: f64,
        /// Maximum number of saved retries, such as the requests of one node at a fabric domain
        /// that becomes unreachable.
        pub retry_saved_max: f64,
        /// Whether a retry is charged to the budget although no target ran the failed attempt.
        pub charge_refused: bool,
        /// Whether requests for engines that can begin in time come before those that are late, which
        /// wait or return, and a window learnt from the times to the first event bounds the requests in
        /// flight.
        pub overload_control: bool,
    }
}

impl Default for FairSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            sharing: Sharing::Borrowing,
            queue_entries_max: 10_000,
            base_ms: 60.0,
            prefill_ms_per_token: 0.2,
            decode_ms_per_token: 35.0,
            adapter_load_ms: 800.0,
            wait_feedback: true,
            cost_margin: 0.5,
            move_off_ejected: true,
            cancel_slow: true,
            look_ahead: 8,
            learn_prefix_hits: true,
            stuck_ratio: 2.5,
            cancel_late_rest: true,
            eject_silent: true,
            retry_earned: 0.2,
            retry_saved_max: 100.0,
            charge_refused: false,
            overload_control: false,
        }
    }
}

impl FairSettings {
    /// Creates the default settings with this seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Sets how slots are shared.
    pub fn with_sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Sets whether waits are corrected by actual slot times.
    pub fn with_wait_feedback(mut self, wait_feedback: bool) -> Self {
        self.wait_feedback = wait_feedback;
        self
    }

    /// Sets the safety margin before the deadline, as a fraction of the mean deviation.
    pub fn with_cost_margin(mut self, cost_margin: f64) -> Self {
        self.cost_margin = cost_margin;
        self
    }

    /// Sets whether running requests are retried elsewhere when their target is ejected.
    pub fn with_move_off_ejected(mut self, move_off_ejected: bool) -> Self {
        self.move_off_ejected = move_off_ejected;
        self
    }

    /// Sets whether a slow attempt is cancelled once another target can take its request over.
    pub fn with_cancel_slow(mut self, cancel_slow: bool) -> Self {
        self.cancel_slow = cancel_slow;
        self
    }

    /// Sets the number of requests among which one with a cached prefix is preferred; at least one.
    pub fn with_look_ahead(mut self, look_ahead: usize) -> Self {
        self.look_ahead = look_ahead.max(1);
        self
    }

    /// Sets whether costs include how often an indexed prefix is cached where a request runs.
    pub fn with_learn_prefix_hits(mut self, learn_prefix_hits: bool) -> Self {
        self.learn_prefix_hits = learn_prefix_hits;
        self
    }

    /// Sets the multiple of the expected first token delay after which an attempt is stuck.
    pub fn with_stuck_ratio(mut self, stuck_ratio: f64) -> Self {
        self.stuck_ratio = stuck_ratio;
        self
    }

    /// Sets whether an answer is cancelled if its rest is expected after the deadline.
    pub fn with_cancel_late_rest(mut self, cancel_late_rest: bool) -> Self {
        self.cancel_late_rest = cancel_late_rest;
        self
    }

    /// Sets whether a target that stops reporting is ejected.
    pub fn with_eject_silent(mut self, eject_silent: bool) -> Self {
        self.eject_silent = eject_silent;
        self
    }

    /// Sets the retries earned per arrival, the most saved, and whether unrun attempts are charged.
    pub fn with_retries(mut self, earned: f64, saved_max: f64, charge_refused: bool) -> Self {
        self.retry_earned = earned;
        self.retry_saved_max = saved_max;
        self.charge_refused = charge_refused;
        self
    }

    /// Sets whether late requests come after those that can begin in time.
    pub fn with_overload_control(mut self, overload_control: bool) -> Self {
        self.overload_control = overload_control;
        self
    }

    /// Sets the initial estimates of service times, in milliseconds.
    pub fn with_times(mut self, base_ms: f64, prefill_ms: f64, decode_ms: f64) -> Self {
        self.base_ms = base_ms;
        self.prefill_ms_per_token = prefill_ms;
        self.decode_ms_per_token = decode_ms;
        self
    }

    /// Sets the maximum number of waiting requests of a class.
    pub fn with_queue_entries_max(mut self, entries: usize) -> Self {
        self.queue_entries_max = entries;
        self
    }
}
