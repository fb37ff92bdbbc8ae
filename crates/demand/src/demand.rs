use std::collections::BTreeMap;

use celeryhaven_derives::data;
use celeryhaven_types::ModelName;

use crate::RecentDemand;

data! {
    /// Recently offered load of one node, or the sum of several nodes.
    ///
    /// ```
    /// use celeryhaven_demand::Demand;
    /// use celeryhaven_types::ModelName;
    ///
    /// let model = ModelName::new("small");
    /// let slots = |slots: f64| [(model.clone(), slots)].into();
    /// let mut all = Demand { nodes: 1, busy_slots: slots(2.0), recent: None };
    /// all.add(&Demand { nodes: 1, busy_slots: slots(3.0), recent: None });
    /// assert_eq!((all.nodes, all.busy_slots[&model]), (2, 5.0));
    /// ```
    #[derive(Default)]
    pub struct Demand {
        /// Number of nodes included.
        pub nodes: u32,
        /// Slots that the offered load of each model would keep busy.
        pub busy_slots: BTreeMap<ModelName, f64>,
        /// Short-term demand, if it is measured.
        ///
        /// It is the last field of each message and left out if absent, so that nodes of older
        /// versions read the messages as well.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub recent: Option<RecentDemand>,
    }
}

impl Demand {
    /// Adds the demand of other nodes, without their short-term demand.
    pub fn add(&mut self, other: &Self) {
        self.nodes += other.nodes;
        for (model, slots) in &other.busy_slots {
            *self.busy_slots.entry(model.clone()).or_default() += slots;
        }
    }

    /// Extrapolates to a fleet of `nodes` nodes, assuming the same average demand per node.
    pub fn scaled_to(&self, nodes: u32) -> Self {
        let factor = f64::from(nodes) / f64::from(self.nodes.max(1));
        let busy_slots =
            self.busy_slots.iter().map(|(model, slots)| (model.clone(), slots * factor));
        Self { nodes, busy_slots: busy_slots.collect(), recent: None }
    }
}
