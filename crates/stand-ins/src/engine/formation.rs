use std::net::SocketAddr;

use celeryhaven_derives::{data, state};
use celeryhaven_types::{Boot, Formation, Generation, ModelName, ModelVersion, ReplicaName};

data! {
    /// The state that a member reports to its peers (`GET /member`).
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct MemberView {
        /// The boot of its engine.
        pub boot: Boot,
        /// The replica and generation that the member has been ordered to join.
        pub formation: Option<(ReplicaName, Generation)>,
        /// Whether its weights are fully loaded.
        pub loaded: bool,
        /// Whether it has detected a failure of the formation.
        pub broken: bool,
    }
}

state! {
    /// A formation that a member has been ordered to join.
    pub struct JoinedFormation {
        /// The name of the replica.
        pub replica: ReplicaName,
        /// The generation of the replica.
        pub generation: Generation,
        /// The rank of this member.
        pub rank: u32,
        /// The addresses of all members, in rank order.
        pub members: Vec<SocketAddr>,
        /// The name of the model.
        pub model: ModelName,
        /// The version of the model.
        pub version: ModelVersion,
        /// The boots of all members at the time of joining, or empty before that.
        pub member_boots: Vec<Boot>,
        /// Whether a member has been lost since. Only another join order recovers from this.
        pub broken: bool,
        /// Whether new requests are rejected.
        pub draining: bool,
    }
}

impl JoinedFormation {
    /// Whether all members have joined and none has been lost since.
    pub fn ready(&self) -> bool {
        !self.broken && !self.member_boots.is_empty()
    }

    /// Applies the reported states of all members, in rank order. `None` is an unanswered query.
    ///
    /// Returns whether a formation that was ready has failed.
    pub fn observe(&mut self, views: &[Option<MemberView>]) -> bool {
        let expected = (self.replica.clone(), self.generation);
        let has_joined = |view: &Option<MemberView>| {
            view.as_ref().is_some_and(|view| {
                view.formation.as_ref() == Some(&expected) && view.loaded && !view.broken
            })
        };
        let boots = views.iter().flatten().map(|view| view.boot).collect::<Vec<_>>();
        let all_joined = views.iter().all(has_joined);
        if !self.ready() {
            if all_joined && !self.broken {
                self.member_boots = boots;
            }
            return false;
        }
        self.broken = !all_joined || boots != self.member_boots;
        self.broken
    }

    /// Converts the formation to its form in member reports.
    pub fn report(&self) -> Formation {
        Formation {
            replica: self.replica.clone(),
            generation: self.generation,
            version: self.version.clone(),
            member_boots: self.member_boots.clone(),
            ready: self.ready(),
        }
    }
}
