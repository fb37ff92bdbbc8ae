use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::fair::AdapterKey;

state! {
    /// An adapter that a target has loaded or is loading.
    #[derive(Copy)]
    pub(crate) struct LoadedAdapter {
        pub(crate) key: AdapterKey,
        /// When this node first saw it loaded, or sent a request that loads it.
        pub(crate) since: TimeMs,
    }
}
