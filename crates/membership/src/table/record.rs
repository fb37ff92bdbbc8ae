use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::member::MembershipUpdate;

slotmap::new_key_type! {
    /// A member's place in the table.
    pub(crate) struct MemberKey;
}

state! {
    /// What is known of one member.
    pub(crate) struct Record {
        /// The rumour that holds.
        pub(crate) rumour: MembershipUpdate,
        /// When it came to hold.
        pub(crate) since: TimeMs,
    }
}
