//! The checks and their violations.

mod bounds;
mod calls;
mod checks;
mod machines;
mod tally;
mod violation;

pub use bounds::Bounds;
pub use checks::Checks;
pub use tally::Tally;
pub use violation::Violation;
