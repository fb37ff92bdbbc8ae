//! The probe order and the pending probe.

mod order;
mod pending_probe;

pub(crate) use order::ProbeOrder;
pub(crate) use pending_probe::{PendingProbe, ProbeStage};
