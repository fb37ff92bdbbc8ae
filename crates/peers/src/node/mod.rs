//! Node records and probe results.

mod node_record;
mod probe_result;

pub use node_record::NodeRecord;
pub use probe_result::ProbeResult;
