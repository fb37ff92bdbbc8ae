use celeryhaven_derives::data;
use celeryhaven_types::Boot;

use crate::member::{Member, MemberState};

data! {
    /// A member and its state, as reported by a node.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct MembershipUpdate {
        /// The member as it described itself.
        pub member: Member,
        /// Its state.
        pub state: MemberState,
        /// Refutation count; only the member itself increments it.
        pub refutation: u32,
    }
}

impl MembershipUpdate {
    /// Returns the precedence of this update; the greater one of the same node overrides the other.
    ///
    /// A later boot overrides an earlier one, since a process never returns after its successor
    /// has started. Within a boot a refutation overrides any state, including `Dead`, so that a
    /// resumed process becomes a member again.
    pub fn precedence(&self) -> (Boot, u32, MemberState) {
        (self.member.incarnation.boot, self.refutation, self.state)
    }
}
