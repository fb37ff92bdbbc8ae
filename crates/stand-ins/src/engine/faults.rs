use celeryhaven_derives::data;

data! {
    /// Faults of an engine VM. Omitted fields are off.
    #[derive(Copy, Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// Suspends the engine: no answers and no tokens, but its memory is retained.
        pub frozen: bool,
        /// Multiplies the duration of each step, in thousandths. Zero means normal speed.
        pub slow_permille: u32,
        /// Rejects new requests.
        pub refuse: bool,
        /// The number of upcoming streams to cut.
        pub cut_streams: u32,
        /// The number of tokens after which these streams are cut.
        pub cut_after_tokens: u32,
        /// The number of upcoming answers that carry the ID of another request.
        pub cross_answers: u32,
        /// A delay added to every answer, in milliseconds.
        pub delay_ms: u64,
        /// A delay added before orders are processed, in milliseconds.
        pub delay_orders_ms: u64,
    }

    /// A fault to inject into an engine VM.
    #[serde(rename_all = "snake_case")]
    pub enum EngineFault {
        /// Stops the VM: closes its port and all connections.
        Die,
        /// Restarts the VM with empty memory at the same address.
        Restart,
        /// Replaces the set of active faults.
        Set(EngineFaults),
    }

    /// The body of `POST /faults` on the control port.
    #[serde(deny_unknown_fields)]
    pub struct FaultOrder {
        /// The name of the VM.
        pub vm: String,
        /// The fault to inject.
        pub fault: EngineFault,
    }
}
