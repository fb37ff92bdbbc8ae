//! Plans which targets form which replica and orders the targets accordingly, without I/O.
//!
//! Each fabric domain has one coordinator at a time. It holds no lease. Before it orders any join,
//! it writes the domain's record with a compare-and-swap, and the version of that write becomes the
//! generation of the replicas it plans. A former coordinator fails the compare-and-swap, and its
//! late orders carry a lower generation, which targets refuse.
//!
//! | module | contents |
//! |---|---|
//! | [`interface`] | events, actions, input and settings of a [`DomainPlanner`] |
//! | [`mix`] | how many replicas of each model a domain should have |
//! | [`record`] | the domain's record in the store |
//! | [`domain`] | the state machine of a domain's coordinator |

pub mod domain;
pub mod interface;
pub mod mix;
pub mod record;

pub use domain::DomainPlanner;
pub use interface::{
    FormationFailure, FormingAction, FormingEvent, FormingSettings, FormingView, ListedDomain,
    OrderId, PlannerId, Reachability,
};
pub use mix::{Balance, DomainPosition, ModelCount, wanted_replicas};
pub use record::{DomainRecord, PlannedReplica};
