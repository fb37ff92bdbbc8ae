use celeryhaven_derives::number;

number! {
    /// Number of a process start, which distinguishes restarts at the same address.
    Boot(u64)
    /// Fencing number of a lease, increased with each holder; targets may refuse lower ones.
    Fence(u64)
    /// Number of a replica's formation; members of different generations never serve together.
    Generation(u64)
}
