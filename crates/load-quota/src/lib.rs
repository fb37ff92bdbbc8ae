//! Limits how many loads from the weights store begin within a sliding window, over all nodes.
//!
//! A part of the rate that every coordinator held for itself would add up to more than the rate:
//! saved-up parts are spent at one moment, and a new coordinator knows nothing of the loads of the
//! one before. Here, a record in the store lists the grants of all nodes that may still begin a
//! load. It is changed by conditional writes only, so that no order of events, and no number of
//! coordinators, lets more loads begin than it has room for. A large limit is divided among several
//! records, each of which belongs to some of the domains.
//!
//! Loads do not count before the first request of a caller. Until then, grants are made far more
//! often, but never more at one time than the window allows, and each is used only if the store
//! still holds no word of a caller once the grant is made.
//!
//! Clocks of nodes are never compared: a node drops a grant once it has itself known it for as long
//! as the grant counts.
//!
//! The crate performs no I/O: the caller passes the time and carries out the calls.
//!
//! | type | purpose |
//! |---|---|
//! | [`LoadQuota`] | requests grants for the domains that a node coordinates |
//! | [`QuotaCall`], [`QuotaReply`] | a call to the store that the caller carries out, and its outcome |
//! | [`QuotaRecord`], [`LoadGrant`] | what the store holds |
//! | [`ShardKey`] | which domains share a record |
//! | [`LoadLimit`] | how many loads a configuration allows within the window |
//! | [`LoadNeeds`] | how many loads a domain needs |
//! | [`GrantedLoads`] | loads that a domain may begin |
//! | [`LoadOutcome`] | what became of the order of a granted load |

mod granted_loads;
mod load_limit;
mod load_needs;
mod load_quota;
mod own_grant;
mod quota_call;
mod quota_record;
mod quota_shard;
mod shard_key;

pub use granted_loads::GrantedLoads;
pub use load_limit::LoadLimit;
pub use load_needs::LoadNeeds;
pub use load_quota::LoadQuota;
pub use own_grant::LoadOutcome;
pub use quota_call::{QuotaCall, QuotaReply};
pub use quota_record::{GrantId, LoadGrant, QuotaRecord};
pub use shard_key::ShardKey;
