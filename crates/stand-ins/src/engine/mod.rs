//! Stand-in for model engines: one process hosts many VMs, each with its own port.

mod batch;
mod cache;
mod cache_events;
mod completion;
mod control;
mod directory;
mod faults;
mod fleet;
mod formation;
mod frames;
mod member;
mod orders;
mod runs;
mod sequence;
mod settings;
mod text;
mod vm;
mod vm_http;
mod vm_state;

pub use batch::Batch;
pub use cache::PrefixCache;
pub use cache_events::{CacheEvent, CacheEvents};
pub use completion::{Completion, CompletionError};
pub use faults::{EngineFault, EngineFaults, FaultOrder};
pub use fleet::{EngineFleet, FleetError, HostedVm};
pub use formation::{JoinedFormation, MemberView};
pub use runs::{EngineRun, RunLog, RunOutcome};
pub use sequence::{Sequence, Sink};
pub use settings::EngineSettings;
pub use text::{expected_text, prefix_hashes, token};
pub use vm::EngineVm;
