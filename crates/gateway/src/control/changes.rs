use std::ops::BitOr;

use celeryhaven_derives::state;

state! {
    /// Parts of the control state that a batch of events has changed.
    ///
    /// Probes and heartbeats of hundreds of nodes rarely change anything, so only the state that
    /// depends on a changed part is computed again.
    #[derive(Copy, Default)]
    pub(super) struct Changes {
        /// Listed targets, or the configuration in force.
        pub(super) targets: bool,
        /// The set of other nodes, or the state of any node including this one.
        pub(super) nodes: bool,
        /// Input of the coordinators, including the time.
        pub(super) forming: bool,
    }
}

impl Changes {
    /// No changes.
    pub(super) const NONE: Self = Self { targets: false, nodes: false, forming: false };

    /// Returns a change of the targets or the configuration, if `targets` is set.
    pub(super) const fn targets(targets: bool) -> Self {
        Self { targets, nodes: false, forming: targets }
    }

    /// Returns a change of the nodes, if `nodes` is set.
    pub(super) const fn nodes(nodes: bool) -> Self {
        Self { targets: false, nodes, forming: false }
    }

    /// A change of the coordinators' input alone.
    pub(super) const FORMING: Self = Self { targets: false, nodes: false, forming: true };
}

impl BitOr for Changes {
    type Output = Self;

    fn bitor(self, other: Self) -> Self {
        Self {
            targets: self.targets | other.targets,
            nodes: self.nodes | other.nodes,
            forming: self.forming | other.forming,
        }
    }
}
