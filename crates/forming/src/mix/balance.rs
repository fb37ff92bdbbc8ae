use std::collections::BTreeMap;

use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::ModelName;

/// Fraction of another model's provision below which a model counts as under-provisioned.
///
/// Small differences are not worth a conversion: a converted target must load its former model
/// again to convert back.
const IMBALANCE_RATIO: f64 = 0.9;

/// Provision of each model of a service, relative to the model's share of the work.
///
/// Counts the replicas of all domains, so that a domain which regains targets does not form
/// replicas of a model that the service already has enough of.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use celeryhaven_fleet::ModelProfile;
/// use celeryhaven_forming::Balance;
/// use celeryhaven_types::ModelName;
///
/// let model = |name: &str, size, share| ModelProfile {
///     name: ModelName::new(name),
///     size,
///     share,
///     time_factor: 1.0,
///     load_ms: 16_000,
///     staged_load_ms: 1_600,
/// };
/// let models = [model("small", 2, 0.25), model("large", 4, 0.75)];
/// let replicas = BTreeMap::from([(ModelName::new("small"), 4), (ModelName::new("large"), 4)]);
/// let balance = Balance::new(&models, 32, &replicas);
/// assert_eq!(balance.by_need().next(), Some(&ModelName::new("large")));
/// assert_eq!(balance.missing(&ModelName::new("large")), 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    /// Sorted by provision, the lowest first.
    entries: Vec<ModelEntry>,
    /// Targets shared by all models.
    targets: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelEntry {
    model: ModelName,
    size: usize,
    /// Normalised fraction of the work.
    share: f64,
    replicas: usize,
}

impl ModelEntry {
    /// Returns how many replicas the model is short of its share of `targets`.
    fn missing(&self, targets: usize) -> usize {
        let fair_share = targets as f64 * self.share / self.size as f64;
        (fair_share.round() as usize).saturating_sub(self.replicas)
    }

    /// Returns the targets that serve the model, divided by its share.
    fn provision(&self) -> f64 {
        (self.replicas * self.size) as f64 / self.share.max(f64::EPSILON)
    }
}

impl Balance {
    /// Creates the balance of these models, given the number of targets and the replicas per model.
    pub fn new(
        models: &[ModelProfile],
        targets: usize,
        replicas: &BTreeMap<ModelName, usize>,
    ) -> Self {
        let shares: f64 = models.iter().map(|model| model.share).sum();
        let entry = |model: &ModelProfile| ModelEntry {
            model: model.name.clone(),
            size: model.size,
            share: model.share / shares.max(f64::EPSILON),
            replicas: replicas.get(&model.name).copied().unwrap_or_default(),
        };
        let entries = models.iter().filter(|model| model.size > 0).map(entry).collect();
        let mut balance = Self { entries, targets };
        balance.sort();
        balance
    }

    /// Returns the models in order of provision, the lowest first.
    pub fn by_need(&self) -> impl Iterator<Item = &ModelName> {
        self.entries.iter().map(|entry| &entry.model)
    }

    /// Returns how many replicas a model is short of its share of the targets.
    pub fn missing(&self, model: &ModelName) -> usize {
        let entry = self.entries.iter().find(|entry| entry.model == *model);
        entry.map_or(0, |entry| entry.missing(self.targets))
    }

    /// Returns the balance with one more replica of `to` and `dissolved` fewer of `from`.
    pub fn with_conversion(&self, to: &ModelName, from: &ModelName, dissolved: usize) -> Self {
        let mut after = self.clone();
        for entry in &mut after.entries {
            if entry.model == *to {
                entry.replicas += 1;
            } else if entry.model == *from {
                entry.replicas = entry.replicas.saturating_sub(dissolved);
            }
        }
        after.sort();
        after
    }

    /// Whether the model with the lowest provision has much less than another model.
    pub fn is_uneven(&self, other: &ModelName) -> bool {
        let other = self.entries.iter().find(|entry| entry.model == *other);
        let worst = self.entries.first().map_or(0.0, ModelEntry::provision);
        other.is_some_and(|other| worst < other.provision() * IMBALANCE_RATIO)
    }

    /// Whether the lowest provision of any model is higher than in another balance.
    pub fn is_more_even_than(&self, other: &Self) -> bool {
        let worst = |balance: &Self| balance.entries.first().map_or(0.0, ModelEntry::provision);
        worst(self) > worst(other)
    }

    fn sort(&mut self) {
        self.entries.sort_by(|a, b| {
            let by_size = b.size.cmp(&a.size).then_with(|| a.model.cmp(&b.model));
            a.provision().total_cmp(&b.provision()).then(by_size)
        });
    }
}
