//! Value of a lease's object.

mod lease_record;

pub use lease_record::LeaseRecord;
