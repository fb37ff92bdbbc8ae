//! Overload control: recognition of returns, and the limit of requests in flight.

mod start_window;
mod usual_limit;

pub(crate) use start_window::StartWindow;
pub use usual_limit::UsualLimit;
