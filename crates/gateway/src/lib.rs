//! The process that takes callers' requests and forms replicas from what a platform lists.
//!
//! One process on each entry VM does both. What it knows comes from the platform's store: the
//! configuration, the listed targets, the other nodes. An [`Adapter`] translates names and shapes
//! of one platform; nothing else in this crate knows them.
//!
//! | module | what it holds |
//! |---|---|
//! | [`adapter`] | what a platform's adapter translates |
//! | [`process`] | starting, leaving |
//! | `control` | the control thread: feeds from the store, deciders of domains, what traffic may use |
//! | `traffic` | requests: admission, attempts, streams, cancels |
//! | `http` | the listeners |

pub mod adapter;
mod control;
mod http;
pub mod process;
mod traffic;

pub use adapter::{
    Adapter, AddressAnswer, AnswerHead, CallerHead, ParseError, Paths, ReportedLoad, TargetCall,
    TargetRequestHead,
};
pub use process::{ProcessError, run, run_program};
