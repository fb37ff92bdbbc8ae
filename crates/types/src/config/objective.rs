use celeryhaven_derives::data;

data! {
    /// Weights of the cost that placement minimises.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct Objective {
        /// Cost of one second during which one replica is not whole.
        pub group_downtime_weight: f64,
        /// Cost of one second during which one accelerator is held but unused.
        pub stranded_accelerator_weight: f64,
    }
}
