use celeryhaven_derives::number;

number! {
    /// Identifies one request within a node, from arrival to its final answer.
    Ticket(u64)
    /// Identifies one target (a replica, or a VM of a plain service) within a node.
    TargetKey(u32)
}
