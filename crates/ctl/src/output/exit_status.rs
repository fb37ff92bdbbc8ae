use std::process::ExitCode;

use celeryhaven_derives::state;
use celeryhaven_types::{OperatorRefusal, OperatorReply};

use crate::client::CtlError;

state! {
    /// Exit code of a command; scripts depend on its number.
    #[derive(Copy, Eq)]
    pub enum ExitStatus {
        /// The command succeeded.
        Done = 0,
        /// The output could not be written.
        Output = 1,
        /// The command line or a file was rejected.
        Usage = 2,
        /// The configuration has changed since the plan; nothing changed.
        Conflict = 3,
        /// The plan had already been confirmed; nothing changed.
        AlreadyConfirmed = 4,
        /// Refused for another reason; nothing changed.
        Refused = 5,
        /// No controller could be reached; nothing changed.
        Unreachable = 6,
        /// The change may be in force.
        OutcomeUnknown = 7,
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

impl From<&OperatorReply> for ExitStatus {
    fn from(reply: &OperatorReply) -> Self {
        match reply {
            OperatorReply::Refused(OperatorRefusal::BadIntent { .. }) => Self::Usage,
            OperatorReply::Refused(OperatorRefusal::Conflict { .. }) => Self::Conflict,
            OperatorReply::Refused(OperatorRefusal::AlreadyConfirmed { .. }) => {
                Self::AlreadyConfirmed
            }
            OperatorReply::Refused(OperatorRefusal::OutcomeUnknown) => Self::OutcomeUnknown,
            OperatorReply::Refused(_) => Self::Refused,
            _ => Self::Done,
        }
    }
}

impl From<&CtlError> for ExitStatus {
    fn from(error: &CtlError) -> Self {
        match error {
            CtlError::File { .. } | CtlError::Credentials { .. } => Self::Usage,
            CtlError::Unreachable { .. } => Self::Unreachable,
            CtlError::OutcomeUnknown { .. } => Self::OutcomeUnknown,
        }
    }
}
