//! Overload control: recognition of returns, and the limit of requests in flight.

mod return_time;
mod start_window;
mod usual_limit;

pub(crate) use return_time::RETURN_DIVISOR_LEAST;
pub use return_time::return_after_ms;
pub(crate) use start_window::StartWindow;
pub use usual_limit::UsualLimit;
