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
}

impl Evacuations {
    /// Replaces all evacuations; returns whether any has begun or ended.
    pub fn replace(&mut self, now: TimeMs, data_centres: BTreeSet<DataCentreName>) -> bool {
        let ended = self.since.len();
        self.since.retain(|data_centre, _| data_centres.contains(data_centre));
        let ended = ended != self.since.len();
        data_centres.into_iter().fold(ended, |changed, name| changed | self.begin(now, name))
    }

    /// Adds an evacuation; returns whether it is new.
    pub fn begin(&mut self, now: TimeMs, data_centre: DataCentreName) -> bool {
        let before = self.since.len();
        self.since.entry(data_centre).or_insert(now);
        self.since.len() != before
    }

    /// Removes an evacuation; returns when this node had learned of it.
    pub fn end(&mut self, data_centre: &DataCentreName) -> Option<TimeMs> {
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
