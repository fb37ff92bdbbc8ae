use celeryhaven_types::FencingMode;

/// How large a fleet is and how its stand-ins behave.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Entry VMs, each with an entry and a controller, spread over the data centres in turn.
    pub nodes: usize,
    /// Data centres, each with one fabric domain.
    pub data_centres: usize,
    /// Engine VMs of each fabric domain.
    pub engines_per_domain: usize,
    /// VMs of each replica.
    pub vms_per_replica: u32,
    /// Replicas wanted.
    pub replicas: u32,
    /// VMs of the plain service.
    pub plain_targets: usize,
    /// Whether the intent names plain targets by spare addresses, where a test puts relays.
    pub plain_relayed: bool,
    /// Requests that a replica runs side by side.
    pub slots: u32,
    /// Time of one decoding step, in microseconds.
    pub decode_us: u64,
    /// Size of the weights, in bytes.
    pub weights_bytes: u64,
    /// Rate of the weights store, in bytes a second.
    pub weights_bytes_per_s: u64,
    /// Whether engines check fencing numbers.
    pub fencing: FencingMode,
    /// How long callers may keep an address answer, in milliseconds.
    pub address_ttl_ms: u64,
    /// Lines of every entry's settings file that make it look around more often, so that tests take
    /// less time; empty for the defaults.
    pub entry_pace: String,
    /// The same for every controller.
    pub controller_pace: String,
    /// Further lines of every entry's settings file.
    pub entry_settings: String,
    /// Further lines of every controller's settings file.
    pub controller_settings: String,
}

impl FleetShape {
    /// Three data centres, an entry VM and five engine VMs in each, replicas of four VMs.
    pub fn new() -> Self {
        Self {
            nodes: 3,
            data_centres: 3,
            engines_per_domain: 5,
            vms_per_replica: 4,
            replicas: 3,
            plain_targets: 2,
            plain_relayed: false,
            slots: 8,
            decode_us: 4_000,
            weights_bytes: 200_000_000,
            weights_bytes_per_s: 4_000_000_000,
            fencing: FencingMode::Checked,
            address_ttl_ms: 1_500,
            entry_pace: "poll_interval_ms: 200\nvm_list_interval_ms: 500\nprobe_interval_ms: 200\n"
                .into(),
            controller_pace: "poll_interval_ms: 200\nvm_list_interval_ms: 500\n".into(),
            entry_settings: String::new(),
            controller_settings: String::new(),
        }
    }

    /// Two data centres with one replica of two VMs and one spare VM each.
    pub fn small() -> Self {
        Self {
            data_centres: 2,
            nodes: 3,
            engines_per_domain: 3,
            vms_per_replica: 2,
            replicas: 2,
            ..Self::new()
        }
    }

    /// Sets the time of one decoding step.
    pub fn with_decode_us(mut self, decode_us: u64) -> Self {
        self.decode_us = decode_us;
        self
    }

    /// Engine VMs in all.
    pub fn engines(&self) -> usize {
        self.data_centres * self.engines_per_domain
    }

    /// The data centre of a node, an engine or a plain target, by its number.
    pub fn data_centre(&self, number: usize) -> String {
        format!("dc-{}", number % self.data_centres + 1)
    }
}

impl Default for FleetShape {
    fn default() -> Self {
        Self::new()
    }
}
