use celeryhaven_types::{AdapterName, Fence, Order, OrderKind};

use crate::engine::JoinedFormation;
use crate::engine::vm_state::{VmState, Weights};

impl VmState {
    /// Executes an order. Returns the highest fencing number seen if the order's is stale.
    pub(crate) fn execute_order(&mut self, order: Order, checks_fences: bool) -> Result<(), Fence> {
        if checks_fences && order.fence < self.fence {
            return Err(self.fence);
        }
        self.fence = self.fence.max(order.fence);
        if !self.executed_orders.insert(order.order_id) {
            return Ok(());
        }
        match order.kind {
            OrderKind::Join { .. } => self.join(order.kind),
            OrderKind::Drain { replica } => {
                if let Some(joined) = self.formation.as_mut().filter(|f| f.replica == replica) {
                    joined.draining = true;
                }
            }
            OrderKind::Release { replica, boot } => {
                let same_boot = boot.is_none_or(|boot| boot == self.boot);
                let member = self.formation.as_ref().is_some_and(|f| f.replica == replica);
                if same_boot && member {
                    self.leave();
                    self.weights = None;
                    self.adapters.clear();
                }
            }
            OrderKind::LoadAdapter { adapter } => self.load_adapter(adapter),
        }
        Ok(())
    }

    fn join(&mut self, kind: OrderKind) {
        let OrderKind::Join {
            replica,
            generation,
            rank,
            members,
            model,
            version,
            adapters,
            weights_bytes,
        } = kind
        else {
            return;
        };
        let same = self.formation.as_ref().is_some_and(|joined| {
            let assignment = (&joined.replica, joined.generation, joined.rank, &joined.members);
            assignment == (&replica, generation, rank, &members) && !joined.broken
        });
        if same {
            return;
        }
        self.leave();
        let loaded =
            self.weights.take().filter(|loaded| loaded.model == model && loaded.version == version);
        self.weights = Some(loaded.unwrap_or(Weights {
            model: model.clone(),
            version: version.clone(),
            bytes: weights_bytes,
            loaded_bytes: 0,
        }));
        self.adapters = adapters;
        self.batch.set_replica(replica.as_str());
        self.formation = Some(JoinedFormation {
            replica,
            generation,
            rank,
            members,
            model,
            version,
            member_boots: Vec::new(),
            broken: false,
            draining: false,
        });
    }

    fn leave(&mut self) {
        self.batch.abort_all();
        self.formation = None;
    }

    fn load_adapter(&mut self, adapter: AdapterName) {
        if !self.adapters.contains(&adapter) {
            self.adapters.push(adapter);
        }
    }
}
