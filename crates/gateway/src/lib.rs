//! Gateway process: serves callers' requests and forms replicas from the targets that a platform
//! lists.
//!
//! Every entry VM runs one process, which does both. It reads the configuration, the listed targets
//! and the records of the other nodes from the platform's store. An [`Adapter`] translates the
//! names and formats of one platform; no other part of this crate depends on them.
//!
//! | module | contents |
//! |---|---|
//! | [`adapter`] | translation between a platform and the gateway |
//! | [`process`] | startup and shutdown |
//! | `bodies` | request bodies: room for them, and how they are read and held |
//! | `control` | the control thread: store feeds, coordination of domains, updates for traffic |
//! | `traffic` | requests: admission, attempts, streams, cancellation |
//! | `http` | the listeners |
//! | `links` | whether this node reaches any target of a service |

pub mod adapter;
mod bodies;
mod control;
mod http;
mod links;
pub mod process;
mod traffic;

pub use adapter::{
    Adapter, AddressAnswer, AnswerHead, AnswerIdentity, CallerHead, LimitHeader, ParseError, Paths,
    ReportedLoad, TargetCall, TargetRequestHead,
};
pub use process::{ProcessError, run, run_program};
