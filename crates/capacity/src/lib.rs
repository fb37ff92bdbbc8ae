//! Measures the cost of control per node as a function of the fleet size.
//!
//! The entry state machines run in virtual time in one process. Members, the Object API and the VM
//! list are simulated and always available. Sent messages are encoded and counted, and the CPU time
//! of the state machines is measured.
//!
//! | module | contents |
//! |---|---|
//! | [`fleet`] | simulated nodes and their environment |
//! | [`figures`] | counters and the rates derived from them |
//! | [`fit`] | linear fits of costs against fleet sizes |

pub mod figures;
pub mod fit;
pub mod fleet;

pub use figures::{Figures, MessageKind};
pub use fit::Line;
pub use fleet::{Fleet, FleetSize};
