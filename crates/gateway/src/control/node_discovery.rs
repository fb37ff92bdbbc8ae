use std::time::{Duration, Instant};

use celeryhaven_peers::NodeRecord;
use celeryhaven_store::{Freshness, StoreCodec};
use celeryhaven_types::store::{Object, ObjectKey, StoreReply, StoreRequest};
use smol::Timer;

use crate::control::counted_store::StoreCallKind;
use crate::control::directory::read_directory;
use crate::control::event::ControlEvent;
use crate::control::feed_conditions::{FeedConditions, FleetScale};
use crate::control::heartbeats::{HeartbeatTask, NODES_PREFIX};

/// Delay of a starting node's look at the scale of the fleet per capacity class below the first,
/// and the largest number of these delays.
const SCALE_READ_DELAY: Duration = Duration::from_millis(150);
const FIRST_CAPACITY_CLASS: u32 = 10;
const SCALE_READS_MAX: u32 = 3;
const SCALE_READ_DELAYS_MAX: u32 = 3;

/// Interval between two reads of the directory of relays by a starting node.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a starting node does not wait for the relays of a directory any longer.
const RELAYS_WAIT_MAX: Duration = Duration::from_millis(2_500);

impl<W: StoreCodec> HeartbeatTask<W> {
    /// Finds out whether the fleet is too large for each node to read the records of all nodes.
    ///
    /// Nodes with more processor time look first: they are the ones that publish the directory,
    /// and the others then need not read any records. If the store does not answer, the fleet
    /// counts as small: nothing can be read anyway.
    pub(super) async fn find_scale(&self) -> FleetScale {
        if self.find_directory(Freshness::Stale).await {
            return FleetScale::Large;
        }
        if !self.has_started_before {
            let classes_below = FIRST_CAPACITY_CLASS.saturating_sub(self.record.capacity_class());
            Timer::after(SCALE_READ_DELAY * classes_below.min(SCALE_READ_DELAYS_MAX)).await;
        }
        for _ in 0..SCALE_READS_MAX {
            // A stale read costs the store a tenth.
            for freshness in [Freshness::Stale, Freshness::Latest] {
                if self.find_directory(freshness).await {
                    return FleetScale::Large;
                }
            }
            let scale = self.read_first_page(Freshness::Latest).await;
            if scale != FleetScale::Unknown {
                return scale;
            }
            Timer::after(DIRECTORY_READ_INTERVAL).await;
        }
        FleetScale::Small
    }

    /// Reads the directory of relays; returns whether there is one.
    async fn find_directory(&self, freshness: Freshness) -> bool {
        let found = read_directory(&self.store, freshness).await;
        let is_found = found.is_some();
        if let Some((directory, version)) = found {
            self.notify(ControlEvent::RelayDirectory(directory, version)).await;
        }
        is_found
    }

    /// Reads the first records; if there are more, some of their nodes publish a directory.
    pub(super) async fn read_first_page(&self, freshness: Freshness) -> FleetScale {
        let list = StoreRequest::List { prefix: ObjectKey::new(NODES_PREFIX) };
        let read = self.store.read_first_page(StoreCallKind::Nodes, &list, freshness);
        let (reply, has_more) = read.await;
        let StoreReply::Listed { objects, .. } = reply else {
            self.notify(ControlEvent::StoreCallFailed).await;
            return FleetScale::Unknown;
        };
        let read = |object: &Object| serde_json::from_str::<NodeRecord>(&object.value).ok();
        let records = objects.iter().filter_map(read).collect();
        match has_more {
            true => {
                self.notify(ControlEvent::LargeFleet(records)).await;
                FleetScale::Large
            }
            false => {
                self.notify(ControlEvent::Nodes(records)).await;
                FleetScale::Small
            }
        }
    }

    /// Reads the directory of relays until the records of all nodes have come from one.
    ///
    /// A directory whose relays do not answer is from before a restart of all nodes.
    pub(super) async fn wait_for_relays(&self, conditions: &FeedConditions) {
        let mut started = Instant::now();
        while !conditions.nodes_known.get() {
            Timer::after(DIRECTORY_READ_INTERVAL).await;
            self.find_directory(Freshness::Stale).await;
            if started.elapsed() >= RELAYS_WAIT_MAX && !conditions.nodes_known.get() {
                started = Instant::now();
                self.read_first_page(Freshness::Latest).await;
            }
        }
    }
}
