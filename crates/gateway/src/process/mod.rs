//! Startup and shutdown.

mod error;
mod gateway_process;
mod main_function;
mod signals;

pub use error::ProcessError;
pub use gateway_process::run;
pub use main_function::run_program;
