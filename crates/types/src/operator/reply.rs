use celeryhaven_derives::data;

use crate::audit::{ChangeRecord, Plan};
use crate::operator::{OperatorRefusal, StatusReport};

data! {
    /// A controller's reply to an operator request.
    #[serde(rename_all = "snake_case")]
    pub enum OperatorReply {
        /// The requested plan, ready to be confirmed.
        Planned(Plan),
        /// The change is accepted and recorded.
        Accepted(ChangeRecord),
        /// The requested status.
        Status(StatusReport),
        /// The newest changes, newest first.
        Audit(Vec<ChangeRecord>),
        /// The request was refused.
        Refused(OperatorRefusal),
    }
}
