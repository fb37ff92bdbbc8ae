use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::message::Probe;
use crate::table::MemberKey;

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// The target was pinged directly.
    Direct,
    /// Other members were asked to ping the target.
    Indirect,
}

state! {
    /// A probe without an answer.
    pub(crate) struct PendingProbe {
        /// Number of the probe.
        pub(crate) probe: Probe,
        /// The probed member.
        pub(crate) target: MemberKey,
        /// When it was started.
        pub(crate) since: TimeMs,
        /// Its stage.
        pub(crate) stage: ProbeStage,
    }
}
