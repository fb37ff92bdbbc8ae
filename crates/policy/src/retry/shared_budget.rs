use celeryhaven_derives::state;

state! {
    /// Retries that all nodes together may save, and the place of one node among them.
    ///
    /// A retry cannot be divided: where there are more nodes than retries, equal parts would leave
    /// every node without any.
    ///
    /// ```
    /// use celeryhaven_policy::SharedRetryBudget;
    ///
    /// let budget = SharedRetryBudget::new(100.0, 0.2);
    /// assert_eq!(budget.node_part(8, 1), 12.5);
    /// assert_eq!(budget.node_part(8, 2), 6.25);
    /// assert_eq!(budget.node_part(200, 1), 1.0);
    /// assert_eq!(SharedRetryBudget::new(100.0, 0.7).node_part(200, 1), 0.0);
    /// ```
    #[derive(Copy)]
    pub struct SharedRetryBudget {
        saved_max: f64,
        /// From 0 to 1, drawn at random by each node.
        node_fraction: f64,
    }
}

impl SharedRetryBudget {
    /// Creates the budget of a node that has drawn `node_fraction`, from 0 to 1.
    pub fn new(saved_max: f64, node_fraction: f64) -> Self {
        Self { saved_max, node_fraction }
    }

    /// Returns how many retries this node may save for one of `pools` pools of targets, if `nodes`
    /// nodes share the budget.
    pub fn node_part(&self, nodes: u32, pools: usize) -> f64 {
        let part = self.saved_max / f64::from(nodes.max(1)) / pools.max(1) as f64;
        match part >= 1.0 {
            true => part,
            false => f64::from(u8::from(self.node_fraction < part)),
        }
    }
}
