use std::io::ErrorKind;

use celeryhaven_types::store::StoreReply;
use trillium_client::Error;

/// Returns the reply for a call that failed without an answer.
///
/// Only a refused connection proves that the store did not receive the call.
pub(crate) fn reply_for_error(error: &Error) -> StoreReply {
    match error {
        Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => StoreReply::Rejected,
        _ => StoreReply::Unknown,
    }
}
