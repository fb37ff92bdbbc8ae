use celeryhaven_derives::data;
use celeryhaven_types::Boot;

use crate::member::{Member, MemberState};

data! {
    /// What one node says of a member.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct MembershipUpdate {
        /// The member as it described itself.
        pub member: Member,
        /// What is believed of it.
        pub state: MemberState,
        /// How often it has refuted; only the member itself counts this up.
        pub refutation: u32,
    }
}

impl MembershipUpdate {
    /// What decides between two rumours of the same node: the greater one holds.
    ///
    /// A later boot goes before an earlier one, since a process never returns after its
    /// successor has started. Within a boot a refutation goes before what it refutes, also before
    /// `Dead`: a paused process that wakes is a member again.
    pub fn precedence(&self) -> (Boot, u32, MemberState) {
        (self.member.incarnation.boot, self.refutation, self.state)
    }
}
