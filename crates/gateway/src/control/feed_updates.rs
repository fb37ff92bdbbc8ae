use std::fmt::Display;
use std::sync::Arc;

use celeryhaven_fleet::{RouteTable, StoreContact, TargetEntry};
use celeryhaven_peers::NodeRecord;
use celeryhaven_sources::Source;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey};
use celeryhaven_types::{NodeName, TimeMs, VmName};
use slog::{info, warn};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::changes::Changes;
use crate::control::event::{FeedKind, FeedUpdate};

/// How long entries that expired during a store outage are kept after its end, in milliseconds.
/// Live targets renew their entries within this time.
pub(super) const OUTAGE_GRACE_MS: u64 = 2_300;

impl<A: Adapter> Control<A> {
    /// Applies a feed update, and records up to when the configuration and the target list are known to be
    /// the newest ones.
    pub(super) fn apply_feed_update(
        &mut self,
        now: TimeMs,
        kind: FeedKind,
        update: FeedUpdate,
    ) -> Changes {
        let confirmed_at = update.origin().map(|origin| origin.confirmed_at);
        let changes = self.apply_objects(now, kind, update);
        if let (FeedKind::Configuration, Some(at), Some(routes), false) =
            (kind, confirmed_at, &self.routes, self.is_config_unreadable)
        {
            self.parts.confirmation.record(routes.config().number, at);
        }
        if let (FeedKind::Targets, Some(at)) = (kind, confirmed_at) {
            let was_over = self.standstill.is_over();
            self.standstill.record_list(at);
            return changes | Changes::nodes(self.standstill.is_over() != was_over);
        }
        changes
    }

    fn apply_objects(&mut self, now: TimeMs, kind: FeedKind, update: FeedUpdate) -> Changes {
        let failed = !update.origin().is_some_and(|origin| origin.reaches_store);
        if failed != self.store_unavailable {
            self.store_unavailable = failed;
            info!(self.parts.log, "store"; "answers" => !failed);
        }
        match update {
            FeedUpdate::Failed => Changes::NONE,
            FeedUpdate::Listed { version, objects, store, is_restored, origin } => {
                self.keep_lapsed_entries(now, store);
                if is_restored {
                    info!(self.parts.log, "store restored from a copy";
                        "kind" => kind.as_str(), "era" => version.era());
                    self.fleet.keep_lapsed_until(now.after(OUTAGE_GRACE_MS));
                }
                match kind {
                    FeedKind::Configuration => {
                        let key = self.parts.adapter.configuration_key();
                        let newest = objects.iter().find(|object| object.key == key);
                        Changes::targets(newest.is_some_and(|object| {
                            self.apply_configuration(&object.value, &origin.source)
                        }))
                    }
                    FeedKind::Targets => {
                        let read = |object: &Object| self.parse_target(&object.key, &object.value);
                        let entries: Vec<_> = objects.iter().filter_map(read).collect();
                        entries.iter().for_each(|entry| self.record_cold(now, entry));
                        let changed = self.fleet.replace(now, entries);
                        let first = !std::mem::replace(&mut self.targets_listed, true);
                        Changes::targets(changed | first)
                    }
                    FeedKind::Advisories => {
                        self.replace_advisories(now, version, &objects);
                        Changes::nodes(true)
                    }
                    FeedKind::Nodes => {
                        let read = |object: &Object| self.parse_node(&object.key, &object.value);
                        let records = objects.iter().filter_map(read).collect();
                        let changed = self.peers.replace_records(now, records);
                        Changes::nodes(changed | self.record_nodes_listed(now))
                    }
                    FeedKind::Evacuations => {
                        self.replace_evacuations(now, &objects, is_restored);
                        Changes::targets(true)
                    }
                }
            }
            FeedUpdate::Changed { changes, store, origin } => {
                self.keep_lapsed_entries(now, store);
                if kind == FeedKind::Advisories {
                    return Changes::nodes(self.apply_advisory_changes(now, &changes));
                }
                if kind == FeedKind::Nodes {
                    return Changes::nodes(self.apply_node_changes(now, &changes));
                }
                let changed = changes.iter().fold(false, |changed, change| {
                    changed | self.apply_change(now, kind, change, &origin.source)
                });
                Changes::targets(changed)
            }
        }
    }

    /// Applies changes of nodes' records; returns whether any node has changed.
    fn apply_node_changes(&mut self, now: TimeMs, changes: &[ObjectChange]) -> bool {
        let read = |change: &ObjectChange| self.parse_node(&change.key, change.value.as_deref()?);
        let written = changes.iter().filter_map(read).collect();
        let changed = self.peers.apply_records(now, written);
        let removed = changes.iter().filter(|change| change.value.is_none());
        removed.fold(changed, |changed, change| {
            let name = NodeName::new(target_name(&change.key).as_str());
            changed | self.peers.remove_record(&name)
        })
    }

    /// Applies the change of one object; returns whether it affects traffic.
    pub(super) fn apply_change(
        &mut self,
        now: TimeMs,
        kind: FeedKind,
        change: &ObjectChange,
        source: &Source,
    ) -> bool {
        let (key, value) = (&change.key, change.value.as_deref());
        match (kind, value) {
            (FeedKind::Configuration, Some(value)) => {
                *key == self.parts.adapter.configuration_key()
                    && self.apply_configuration(value, source)
            }
            (FeedKind::Evacuations, value) => {
                self.apply_evacuation_change(now, key, value.is_some())
            }
            (FeedKind::Configuration, None) | (FeedKind::Advisories | FeedKind::Nodes, _) => false,
            (FeedKind::Targets, value) => {
                let entry = value.and_then(|value| self.parse_target(key, value));
                if let Some(entry) = &entry {
                    self.record_cold(now, entry);
                }
                match entry {
                    Some(entry) => self.fleet.put(entry),
                    None => self.fleet.remove(now, &target_name(key)),
                }
            }
        }
    }

    /// Keeps entries that expired during a store outage until their targets can renew them.
    pub(super) fn keep_lapsed_entries(&mut self, now: TimeMs, store: StoreContact) {
        if let Some(ago_ms) = store.returned_ms_ago {
            self.fleet.keep_lapsed_until(now.before(ago_ms).after(OUTAGE_GRACE_MS));
        }
    }

    /// Parses a target entry; logs and ignores an invalid one.
    pub(super) fn parse_target(&self, key: &ObjectKey, value: &str) -> Option<TargetEntry> {
        let name = target_name(key);
        self.parts
            .adapter
            .target(&name, value)
            .map_err(|error| self.ignore(key, error))
            .ok()
            .map(|entry| self.with_departure(entry))
    }

    /// Parses a node's record; logs and ignores an invalid one.
    fn parse_node(&self, key: &ObjectKey, value: &str) -> Option<NodeRecord> {
        serde_json::from_str(value).map_err(|error| self.ignore(key, error)).ok()
    }

    /// Logs and counts an object that cannot be read.
    fn ignore(&self, key: &ObjectKey, error: impl Display) {
        self.parts.metrics.entries_ignored.inc();
        warn!(self.parts.log, "entry ignored"; "key" => key.as_str(), "error" => error.to_string());
    }

    /// Applies a configuration; returns whether it is newer than the one in force.
    ///
    /// Stale reads and repeated watch results may contain an older configuration, which must not
    /// replace a newer one.
    pub(super) fn apply_configuration(&mut self, value: &str, source: &Source) -> bool {
        let config = match self.parts.adapter.configuration(value) {
            Ok(config) => config,
            Err(error) => {
                warn!(self.parts.log, "configuration ignored"; "error" => error.to_string());
                self.is_config_unreadable = true;
                return false;
            }
        };
        self.is_config_unreadable = false;
        let number = config.number;
        let in_force = self.routes.as_ref().map(|routes| routes.config().number);
        if in_force.is_some_and(|in_force| in_force >= number) {
            return false;
        }
        info!(self.parts.log, "configuration in force";
            "number" => number.get(), "before" => in_force.map(celeryhaven_types::ConfigNumber::get),
            "source" => source.to_string());
        self.parts.metrics.process.config_number.set(number.get() as i64);
        self.routes = Some(Arc::new(RouteTable::new(config)));
        true
    }
}

fn target_name(key: &ObjectKey) -> VmName {
    let name = key.as_str().rsplit_once('/').map_or(key.as_str(), |(_, name)| name);
    VmName::new(name)
}
