//! Node records, probe results, and whether this node has stood still.

mod node_record;
mod probe_result;
mod standstill;

pub use node_record::NodeRecord;
pub use probe_result::ProbeResult;
pub use standstill::Standstill;
