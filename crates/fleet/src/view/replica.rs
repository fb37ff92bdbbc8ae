use celeryhaven_derives::{data, state};
use celeryhaven_types::{DomainName, Generation, ModelName, ReplicaName, ServiceName, VmName};

use crate::target::{MemberState, TargetEntry, TargetPhase};

data! {
    /// Identifies one formation of a replica.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ReplicaKey {
        /// The replica name.
        pub replica: ReplicaName,
        /// The generation of the formation.
        pub generation: Generation,
    }
}

state! {
    /// A replica as reported by its members.
    #[derive(Eq)]
    pub struct Replica {
        /// The formation.
        pub key: ReplicaKey,
        /// The service of its members.
        pub service: ServiceName,
        /// The fabric domain.
        pub domain: Option<DomainName>,
        /// The model, once a member reports it.
        pub model: Option<ModelName>,
        /// Listed members by rank; `None` for a rank without a listed member.
        pub members: Vec<Option<VmName>>,
        /// Number of members that were all listed and ready at the same time, and of which none has
        /// been listed outside the replica since.
        pub formed_size: usize,
        /// State of the head; `None` if it is not listed.
        pub head_state: Option<MemberState>,
        /// Whether every listed member is ready or open.
        pub all_ready: bool,
        /// Whether a member is draining.
        pub draining: bool,
    }
}

impl Replica {
    pub(crate) fn new(key: ReplicaKey, entry: &TargetEntry) -> Self {
        Self {
            key,
            service: entry.service.clone(),
            domain: entry.domain.clone(),
            model: None,
            members: Vec::new(),
            formed_size: 0,
            head_state: None,
            all_ready: true,
            draining: false,
        }
    }

    pub(crate) fn add(&mut self, entry: &TargetEntry, rank: usize, state: MemberState) {
        if self.members.len() <= rank {
            self.members.resize(rank + 1, None);
        }
        self.members[rank] = Some(entry.name.clone());
        self.model = self.model.take().or_else(|| entry.model.clone());
        self.draining |= entry.phase == TargetPhase::Draining;
        if rank == 0 {
            self.head_state = Some(state);
        }
        self.all_ready &= matches!(state, MemberState::Ready | MemberState::Open);
    }

    /// Returns the member that takes the requests, if it is listed.
    pub fn head(&self) -> Option<&VmName> {
        self.members.first()?.as_ref()
    }

    /// Whether the replica has `size` members and all of them are listed.
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && self.members.iter().all(Option::is_some)
    }

    /// Whether the replica serves with all `size` members.
    ///
    /// The head of a replica that lost a member may accept requests that it cannot answer.
    pub fn is_whole(&self, size: usize) -> bool {
        self.is_complete(size)
            && self.all_ready
            && !self.draining
            && self.head_state == Some(MemberState::Open)
    }
}
