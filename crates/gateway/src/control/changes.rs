use std::ops::BitOr;

use celeryhaven_derives::state;

state! {
    /// What some events have changed; whatever follows from nothing else is left as it is.
    ///
    /// Load: hundreds of nodes, whose probes and heartbeats come all the time and mostly tell what
    /// was known. Harm: with everything worked out anew at each of them, the smallest VMs spent more
    /// on that than on requests.
    #[derive(Copy, Default)]
    pub(super) struct Changes {
        /// Listed targets, or the configuration in force.
        pub(super) targets: bool,
        /// Which other nodes there are, or what they or this one can do.
        pub(super) nodes: bool,
        /// What a decider has to look at, the passing of time included.
        pub(super) forming: bool,
    }
}

impl Changes {
    /// None.
    pub(super) const NONE: Self = Self { targets: false, nodes: false, forming: false };

    /// Of targets or the configuration, if there was one.
    pub(super) const fn targets(targets: bool) -> Self {
        Self { targets, nodes: false, forming: targets }
    }

    /// Of nodes, if there was one.
    pub(super) const fn nodes(nodes: bool) -> Self {
        Self { targets: false, nodes, forming: false }
    }

    /// Of what deciders have asked for.
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
