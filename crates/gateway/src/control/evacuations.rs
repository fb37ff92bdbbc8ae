use std::collections::BTreeSet;

use celeryhaven_types::store::{Object, ObjectKey};
use celeryhaven_types::{DataCentreName, TimeMs};
use slog::info;

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::feed_updates::OUTAGE_GRACE_MS;

impl<A: Adapter> Control<A> {
    /// Replaces all evacuations by those of a list.
    pub(super) fn replace_evacuations(
        &mut self,
        now: TimeMs,
        objects: &[Object],
        is_restored: bool,
    ) {
        let listed: BTreeSet<DataCentreName> =
            objects.iter().map(|object| data_centre_name(&object.key)).collect();
        let before = self.fleet.evacuations().clone();
        self.evacuations_listed = true;
        let until = now.after(OUTAGE_GRACE_MS);
        match is_restored {
            true => self.fleet.evacuations_mut().replace_restored(now, until, listed),
            false => self.fleet.evacuations_mut().replace(now, listed),
        };
        let after = self.fleet.evacuations();
        let begun = after.iter().filter(|(name, _)| !before.contains(name));
        begun.for_each(|(name, _)| self.log_begun(name));
        let ended = before.iter().filter(|(name, _)| !after.contains(name));
        ended.for_each(|(name, since)| self.log_ended(name, now.since(since)));
        self.parts.metrics.evacuations.set(after.iter().count() as i64);
    }

    /// Applies the change of one evacuation; returns whether it has begun or ended.
    pub(super) fn apply_evacuation_change(
        &mut self,
        now: TimeMs,
        key: &ObjectKey,
        is_requested: bool,
    ) -> bool {
        let data_centre = data_centre_name(key);
        let changed = match is_requested {
            true => {
                let is_new = self.fleet.evacuations_mut().begin(now, data_centre.clone());
                if is_new {
                    self.log_begun(&data_centre);
                }
                is_new
            }
            false => {
                let since = self.fleet.evacuations_mut().end(&data_centre);
                since.iter().for_each(|since| self.log_ended(&data_centre, now.since(*since)));
                since.is_some()
            }
        };
        self.parts.metrics.evacuations.set(self.fleet.evacuations().iter().count() as i64);
        changed
    }

    /// Ends the evacuations that operators have not written again after the store came back from a
    /// copy; returns whether there were any.
    pub(super) fn expire_evacuations(&mut self, now: TimeMs) -> bool {
        let expired = self.fleet.evacuations().expired(now);
        for data_centre in &expired {
            let since = self.fleet.evacuations_mut().end(data_centre);
            since.iter().for_each(|since| self.log_ended(data_centre, now.since(*since)));
        }
        self.parts.metrics.evacuations.set(self.fleet.evacuations().iter().count() as i64);
        !expired.is_empty()
    }

    fn log_begun(&self, data_centre: &DataCentreName) {
        let replicas = self.fleet.replicas().values();
        let replicas = replicas.filter(|replica| self.fleet.is_replica_evacuated(replica)).count();
        info!(self.parts.log, "data centre evacuated"; "data_centre" => data_centre.as_str(),
            "replicas" => replicas);
    }

    fn log_ended(&self, data_centre: &DataCentreName, lasted_ms: u64) {
        info!(self.parts.log, "evacuation ended"; "data_centre" => data_centre.as_str(),
            "lasted_ms" => lasted_ms);
    }
}

fn data_centre_name(key: &ObjectKey) -> DataCentreName {
    let name = key.as_str().rsplit_once('/').map_or(key.as_str(), |(_, name)| name);
    DataCentreName::new(name)
}
