//! The production policy: fair queue, admission by deadline, targets shared among entry nodes.

mod admission;
mod back_off;
mod candidates;
mod class;
mod dispatch;
mod fleet;
mod keys;
mod limits;
mod outcomes;
mod overload;
mod policy;
mod request;
mod running;
mod second_attempt;
mod settings;
mod shed;
mod slot_part;

pub(crate) use keys::{AdapterKey, ClassKey};
pub use policy::FairPolicy;
pub use settings::{FairSettings, Sharing};
