//! What a node tells of itself, and what a probe of it showed.

mod node_probe;
mod node_record;

pub use node_probe::NodeProbe;
pub use node_record::NodeRecord;
