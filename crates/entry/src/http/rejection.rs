use celeryhaven_types::RefusalCode;

/// Reason to reject a request before its submission.
pub(crate) struct Rejection {
    pub(crate) code: RefusalCode,
    pub(crate) message: String,
}

impl Rejection {
    pub(crate) fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}
