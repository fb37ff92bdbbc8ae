use celeryhaven_derives::data;

data! {
    /// How entry nodes share the slots of the targets they all send to.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Sharing {
        /// Each target belongs to one entry, chosen by hash; others do not send to it.
        Owner {
            /// Place of this node among the sharers, from zero.
            index: u32,
        },
        /// Each entry has a fixed part of each target's slots.
        Shares,
        /// Each entry sends where its last report plus its own sends since show a free slot.
        Sampling,
        /// A fixed part, and of the slots that a report shows free a part for each entry.
        Borrowing,
        /// A part of all targets' slots together, at whichever of them shows room.
        ///
        /// Load: many nodes before few targets. Harm: a fixed part of each target is less than a
        /// slot, so a node finds no room at most of them; and reports of each come seconds apart,
        /// so sampling alone overfills them. Limit: what a node has at all of them together.
        Pooled,
    }

    /// Settings of [`FairPolicy`](super::FairPolicy).
    #[serde(deny_unknown_fields, default)]
    pub struct FairSettings {
        /// Seed of every random choice.
        pub seed: u64,
        /// How slots are shared among entries.
        pub sharing: Sharing,
        /// Requests that wait for one class of targets at most.
        pub queue_entries_max: usize,
        /// Delay of a first token without a prompt, before any was seen, in milliseconds.
        pub base_ms: f64,
        /// Time to prefill one token, before any was seen, in milliseconds.
        pub prefill_ms_per_token: f64,
        /// Time to generate one token, before any was seen, in milliseconds.
        pub decode_ms_per_token: f64,
        /// Time a target needs to load an adapter, in milliseconds.
        pub adapter_load_ms: f64,
        /// Whether waits are corrected by how long requests took of late against what was expected.
        pub wait_feedback: bool,
        /// Part of the usual deviation of a request's time that is kept free before its deadline.
        pub cost_margin: f64,
        /// Whether what runs at a target is moved off it when it is ejected.
        pub move_off_ejected: bool,
        /// Requests of one organisation among which one is looked for whose prefix a free target
        /// holds; one takes them strictly in order.
        pub look_ahead: usize,
        /// Whether costs learn how often a known prefix is found where a request runs.
        pub learn_prefix_hits: bool,
        /// Times the expected delay of a first token after which an attempt counts as stuck.
        ///
        /// Load: a target that is paused or many times slower, with connections that stay open.
        /// Harm: nothing breaks, so everything sent there waits until its deadline. Limit: full
        /// batches delay a first token to twice what is expected of them; at four times a
        /// target six times slower than its peers is not told apart from a full one.
        pub stuck_ratio: f64,
        /// Whether an answer that has begun is given up where the rest of it is expected too late.
        ///
        /// Load: first tokens that come late. Harm: without it, an answer that will be late takes a slot
        /// from one that would be in time. Where callers see an answer as it comes, it is off: what was
        /// expected by the caller's own limit is often far more than what is written.
        pub cancel_late_rest: bool,
        /// Whether a target whose reports stay away is ejected.
        pub eject_silent: bool,
        /// Retries earned by each arrival.
        ///
        /// Load: a target or a domain that breaks much of what it gets. Harm: each retry is load
        /// that breaks again, until healthy targets drown too. Limit: one retry for five arrivals,
        /// so retries add at most a fifth to the load.
        pub retry_earned: f64,
        /// Retries that may be saved up: the requests that one node has at a domain when it goes
        /// dark.
        pub retry_saved_max: f64,
        /// Whether a retry counts against the budget although no target ran the last attempt.
        pub charge_refused: bool,
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
            look_ahead: 8,
            learn_prefix_hits: true,
            stuck_ratio: 2.5,
            cancel_late_rest: true,
            eject_silent: true,
            retry_earned: 0.2,
            retry_saved_max: 100.0,
            charge_refused: false,
        }
    }
}

impl FairSettings {
    /// The defaults with this seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Shares slots in this way.
    pub fn with_sharing(mut self, sharing: Sharing) -> Self {
        self.sharing = sharing;
        self
    }

    /// Corrects waits by how long requests took of late, or not.
    pub fn with_wait_feedback(mut self, wait_feedback: bool) -> Self {
        self.wait_feedback = wait_feedback;
        self
    }

    /// Keeps this part of the usual deviation of a request's time free before its deadline.
    pub fn with_cost_margin(mut self, cost_margin: f64) -> Self {
        self.cost_margin = cost_margin;
        self
    }

    /// Moves what runs at a target off it when it is ejected, or not.
    pub fn with_move_off_ejected(mut self, move_off_ejected: bool) -> Self {
        self.move_off_ejected = move_off_ejected;
        self
    }

    /// Looks at this many requests of one organisation for a free target.
    pub fn with_look_ahead(mut self, look_ahead: usize) -> Self {
        self.look_ahead = look_ahead.max(1);
        self
    }

    /// Learns how often a known prefix is found where a request runs, or supposes it always is.
    pub fn with_learn_prefix_hits(mut self, learn_prefix_hits: bool) -> Self {
        self.learn_prefix_hits = learn_prefix_hits;
        self
    }

    /// Takes an attempt for stuck after this many times the expected delay of its first token.
    pub fn with_stuck_ratio(mut self, stuck_ratio: f64) -> Self {
        self.stuck_ratio = stuck_ratio;
        self
    }

    /// Gives up an answer that has begun where its rest is expected too late, or never.
    pub fn with_cancel_late_rest(mut self, cancel_late_rest: bool) -> Self {
        self.cancel_late_rest = cancel_late_rest;
        self
    }

    /// Ejects a target whose reports stay away, or not.
    pub fn with_eject_silent(mut self, eject_silent: bool) -> Self {
        self.eject_silent = eject_silent;
        self
    }

    /// Earns and saves this many retries, and charges those that no target ran as well or not.
    pub fn with_retries(mut self, earned: f64, saved_max: f64, charge_refused: bool) -> Self {
        self.retry_earned = earned;
        self.retry_saved_max = saved_max;
        self.charge_refused = charge_refused;
        self
    }

    /// Supposes these times until others were seen, in milliseconds.
    pub fn with_times(mut self, base_ms: f64, prefill_ms: f64, decode_ms: f64) -> Self {
        self.base_ms = base_ms;
        self.prefill_ms_per_token = prefill_ms;
        self.decode_ms_per_token = decode_ms;
        self
    }

    /// Holds at most this many waiting requests of one class.
    pub fn with_queue_entries_max(mut self, entries: usize) -> Self {
        self.queue_entries_max = entries;
        self
    }
}
