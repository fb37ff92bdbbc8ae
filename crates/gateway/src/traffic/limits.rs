use std::collections::BTreeMap;

use celeryhaven_target_limits::TargetLimit;
use celeryhaven_types::{TimeMs, VmName};

use crate::adapter::{Adapter, LimitHeader};
use crate::traffic::{Dispatcher, NamedLimit, TrafficReport};

/// Limits of targets, by target.
pub(crate) type TargetLimitMap = BTreeMap<VmName, TargetLimit>;

impl<A: Adapter> Dispatcher<A> {
    /// Reports the limit that an answer names, if it differs from the one that is known.
    ///
    /// Only a served answer to a request that was sent after the limit was known shows that the
    /// limit has ended: an earlier one may have been under way, and a refusal need not name it.
    pub(crate) fn limit_named(
        &self,
        (target, started_at_ms): (&VmName, Option<u64>),
        header: LimitHeader,
        sent_at: TimeMs,
        is_served: bool,
    ) {
        let known = self.state.borrow().limits.get(target).copied();
        let known = known.and_then(|known| Some((known.named_rate_per_s?, known.known_since)));
        let rate_per_s = match header {
            LimitHeader::Invalid => return,
            LimitHeader::RatePerS(rate_per_s) => {
                if known.is_some_and(|(known_per_s, _)| known_per_s == rate_per_s) {
                    return;
                }
                Some(rate_per_s)
            }
            LimitHeader::Absent => {
                if !is_served || known.is_none_or(|(_, known_since)| known_since >= sent_at) {
                    return;
                }
                None
            }
        };
        self.notify_control(TrafficReport::LimitNamed(NamedLimit {
            target: target.clone(),
            started_at_ms,
            rate_per_s,
        }));
    }
}
