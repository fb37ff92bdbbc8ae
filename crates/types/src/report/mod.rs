//! Reports by members and by the platform, and orders to members.

mod member;
mod order;
mod vm;

pub use member::{Formation, MemberReport};
pub use order::{Order, OrderKind};
pub use vm::{VmEntry, VmPhase, VmRole};
