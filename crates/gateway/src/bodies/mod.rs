//! Request bodies: room for them, and how they are read and held.

mod body_reader;
mod body_store;
mod resident;
mod segment;

pub(crate) use body_reader::BodyReader;
pub(crate) use body_store::BodyStore;
