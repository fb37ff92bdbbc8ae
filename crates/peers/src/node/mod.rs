//! What a node tells of itself, and what a probe of it showed.

mod node_record;
mod probe_result;

pub use node_record::NodeRecord;
pub use probe_result::ProbeResult;
