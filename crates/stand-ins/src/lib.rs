//! Stand-ins for the platform, engines and services, for tests and the demo.
//!
//! The stand-ins are not part of a release. They implement the published protocols of the external
//! systems (see `docs/PROTOCOLS.md`); faults are injected over HTTP.
//!
//! | module | contents |
//! |---|---|
//! | [`object_api`] | the platform's Object API |
//! | [`vm_list`] | the platform's VM list |
//! | [`engine`] | model engines, many VMs in one process |
//! | [`plain`] | plain services |
//! | [`weights`] | the rate-limited weights store |
//! | [`certificates`] | the operators' certificate authority |
//! | [`http`] | an HTTP server with droppable connections |
//! | [`caller`] | callers that validate the answers |
//! | [`args`] | command lines of the stand-in programs |

pub mod args;
pub mod caller;
pub mod certificates;
pub mod engine;
pub mod http;
pub mod object_api;
pub mod plain;
pub mod vm_list;
pub mod weights;
