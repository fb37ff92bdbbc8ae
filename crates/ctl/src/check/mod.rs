//! Settings and intent files, checked without a server.

mod file;

pub use file::check_file;
