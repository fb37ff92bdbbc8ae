use std::io::ErrorKind;

use celeryhaven_types::store::StoreReply;
use trillium_client::Error;

/// What the lack of an answer says.
///
/// Only a refused connection proves that nothing left: any other error may have come after the
/// store took the call in.
pub(crate) fn reply_without_answer(error: &Error) -> StoreReply {
    match error {
        Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => StoreReply::NotDone,
        _ => StoreReply::Unknown,
    }
}
