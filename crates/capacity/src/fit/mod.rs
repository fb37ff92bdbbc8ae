//! Linear fits of costs against fleet sizes.

mod line;

pub use line::Line;
