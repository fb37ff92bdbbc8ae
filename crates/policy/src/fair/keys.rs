use celeryhaven_derives::number;

number! {
    /// Identifies one class of targets within a policy.
    ClassKey(u32)
    /// Identifies one adapter within a policy.
    AdapterKey(u32)
}
