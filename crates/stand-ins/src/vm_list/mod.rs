//! Stand-in for the platform's VM list.

mod list;

pub use list::{VmLines, VmList, VmListFaults};
