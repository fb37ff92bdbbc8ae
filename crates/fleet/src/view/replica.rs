use celeryhaven_derives::{data, state};
use celeryhaven_types::{DomainName, Generation, ModelName, ReplicaName, ServiceName, VmName};

use crate::target::{MemberState, TargetEntry, TargetPhase};

data! {
    /// One formation of a replica.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ReplicaKey {
        /// Its name.
        pub replica: ReplicaName,
        /// Its generation.
        pub generation: Generation,
    }
}

state! {
    /// A replica as its members report it.
    #[derive(Eq)]
    pub struct Replica {
        /// Which formation.
        pub key: ReplicaKey,
        /// The service of its members.
        pub service: ServiceName,
        /// Its domain.
        pub domain: Option<DomainName>,
        /// The model, once a member names it.
        pub model: Option<ModelName>,
        /// Listed members by rank; a gap is a member that is not listed any more.
        pub members: Vec<Option<VmName>>,
        /// State of the head; `None` if it is not listed.
        pub head_state: Option<MemberState>,
        /// Whether every listed member is ready, or the head beyond that.
        pub all_ready: bool,
        /// Whether a member is leaving.
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

    /// The member that takes the requests, if it is listed.
    pub fn head(&self) -> Option<&VmName> {
        self.members.first()?.as_ref()
    }

    /// Whether all members of a model of this size are listed.
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && self.members.iter().all(Option::is_some)
    }

    /// Whether it serves with all its members.
    ///
    /// Guards against requests to a replica that has lost a member: its head goes on taking them
    /// and answers none. A missing, leaving or disagreeing member makes it unroutable at once.
    pub fn is_whole(&self, size: usize) -> bool {
        self.is_complete(size)
            && self.all_ready
            && !self.draining
            && self.head_state == Some(MemberState::Open)
    }
}
