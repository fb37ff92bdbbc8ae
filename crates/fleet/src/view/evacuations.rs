use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DataCentreName, TimeMs};

/// The data centres whose targets operators want to receive no requests.
///
/// ```
/// use celeryhaven_fleet::Evacuations;
/// use celeryhaven_types::{DataCentreName, TimeMs};
///
/// let hall = DataCentreName::new("hall-a");
/// let mut evacuations = Evacuations::default();
/// assert!(evacuations.replace(TimeMs::new(5), [hall.clone()].into()));
/// assert!(evacuations.contains(&hall));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// When this node learned of each evacuation.
    since: BTreeMap<DataCentreName, TimeMs>,
    /// Those that a store which came back from a copy does not list, and until when they hold.
    unlisted: BTreeMap<DataCentreName, TimeMs>,
}

impl Evacuations {
    /// Replaces all evacuations; returns whether any has begun or ended.
    pub fn replace(&mut self, now: TimeMs, data_centres: BTreeSet<DataCentreName>) -> bool {
        let ended = self.since.len();
        self.unlisted.clear();
        self.since.retain(|data_centre, _| data_centres.contains(data_centre));
        let ended = ended != self.since.len();
        data_centres.into_iter().fold(ended, |changed, name| changed | self.begin(now, name))
    }

    /// Replaces all evacuations by those that a store lists which has come back from a copy; returns
    /// whether any has begun.
    ///
    /// Operators write again what the copy lacks, so the others hold until then.
    pub fn replace_restored(
        &mut self,
        now: TimeMs,
        until: TimeMs,
        data_centres: BTreeSet<DataCentreName>,
    ) -> bool {
        let unlisted = self.since.keys().filter(|name| !data_centres.contains(*name));
        self.unlisted = unlisted.map(|name| (name.clone(), until)).collect();
        data_centres.into_iter().fold(false, |changed, name| changed | self.begin(now, name))
    }

    /// Returns the evacuations that have not been listed again in time.
    pub fn expired(&self, now: TimeMs) -> Vec<DataCentreName> {
        let expired = self.unlisted.iter().filter(|(_, until)| **until <= now);
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Adds an evacuation; returns whether it is new.
    pub fn begin(&mut self, now: TimeMs, data_centre: DataCentreName) -> bool {
        let before = self.since.len();
        self.unlisted.remove(&data_centre);
        self.since.entry(data_centre).or_insert(now);
        self.since.len() != before
    }

    /// Removes an evacuation; returns when this node had learned of it.
    pub fn end(&mut self, data_centre: &DataCentreName) -> Option<TimeMs> {
        self.unlisted.remove(data_centre);
        self.since.remove(data_centre)
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.since.contains_key(data_centre)
    }

    /// Whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns the evacuated data centres, and since when.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentreName, TimeMs)> {
        self.since.iter().map(|(data_centre, since)| (data_centre, *since))
    }
}
