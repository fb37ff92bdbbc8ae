//! The operators' command-line tool.
//!
//! | module | contents |
//! |---|---|
//! | [`args`] | the command line |
//! | [`check`] | settings and intent files, checked without a server |
//! | [`client`] | the link to a controller |
//! | [`output`] | tables, JSON and exit codes |
//! | [`run`](mod@run) | execution of a command |

pub mod args;
pub mod check;
pub mod client;
pub mod output;
pub mod run;

pub use args::{Args, ArgsError, Command, FileKind};
pub use check::check_file;
pub use client::{CtlError, ask};
pub use output::{ExitStatus, report, show};
pub use run::run;
