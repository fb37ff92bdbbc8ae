//! Names, accepted values and defaults of settings.

mod kind;
mod spec;
mod table;
mod value;

pub use kind::Kind;
pub use spec::Field;
pub(crate) use spec::read_field;
pub(crate) use spec::reject_unknown_fields;
pub use table::markdown_table;
pub(crate) use value::FromNode;
