//! Objects with their high-water versions.

mod object_cache;

pub use object_cache::ObjectCache;
