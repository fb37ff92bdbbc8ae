use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::member::MembershipUpdate;

slotmap::new_key_type! {
    /// Key of a member in the table.
    pub(crate) struct MemberKey;
}

state! {
    /// The current record of one member.
    pub(crate) struct Record {
        /// The update with the highest precedence.
        pub(crate) update: MembershipUpdate,
        /// When it was applied.
        pub(crate) since: TimeMs,
    }
}
