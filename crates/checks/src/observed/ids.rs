use celeryhaven_derives::number;

number! {
    /// Identifies an operation of a caller, such as an update, across all its retries.
    OperationId(u64)
    /// Identifies one call for an operation at one entry.
    CallId(u64)
}
