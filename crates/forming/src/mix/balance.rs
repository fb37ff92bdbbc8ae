use std::collections::BTreeMap;

use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::ModelName;

/// Part of another model's provision below which a model is worth replicas of it.
///
/// A member that changes its model must load the former one again before it can go back, so a small
/// difference is left as it is.
const UNEVEN_PART: f64 = 0.9;

/// How well each model of a service is provided for, against its share of the work.
///
/// Load: targets are lost everywhere and come back elsewhere, so that no domain holds what it was
/// meant to. Harm: a domain that looks at itself alone forms another replica of the model that the
/// service has enough of, while callers of the other wait. Limit: replicas in all domains count, as
/// the list shows them.
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
/// let held = BTreeMap::from([(ModelName::new("small"), 4), (ModelName::new("large"), 4)]);
/// let balance = Balance::new(&models, 32, &held);
/// assert_eq!(balance.by_need().next(), Some(&ModelName::new("large")));
/// assert_eq!(balance.missing(&ModelName::new("large")), 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    /// The one that is provided for worst first.
    parts: Vec<ModelPart>,
    /// Targets that all models share.
    targets: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelPart {
    model: ModelName,
    size: usize,
    /// Part of the work, of one.
    share: f64,
    replicas: usize,
}

impl ModelPart {
    /// Replicas that it lacks to its share of so many targets.
    fn missing(&self, targets: usize) -> usize {
        let fair = targets as f64 * self.share / self.size as f64;
        (fair.round() as usize).saturating_sub(self.replicas)
    }

    /// Targets that serve the model for each part of the work that is its share.
    fn provision(&self) -> f64 {
        (self.replicas * self.size) as f64 / self.share.max(f64::EPSILON)
    }
}

impl Balance {
    /// The balance of these models on so many targets with so many replicas of each.
    pub fn new(models: &[ModelProfile], targets: usize, held: &BTreeMap<ModelName, usize>) -> Self {
        let shares: f64 = models.iter().map(|model| model.share).sum();
        let part = |model: &ModelProfile| ModelPart {
            model: model.name.clone(),
            size: model.size,
            share: model.share / shares.max(f64::EPSILON),
            replicas: held.get(&model.name).copied().unwrap_or_default(),
        };
        let parts = models.iter().filter(|model| model.size > 0).map(part).collect();
        let mut balance = Self { parts, targets };
        balance.sort();
        balance
    }

    /// Models, the one that is provided for worst first.
    pub fn by_need(&self) -> impl Iterator<Item = &ModelName> {
        self.parts.iter().map(|part| &part.model)
    }

    /// Replicas that a model lacks to its share of the targets.
    pub fn missing(&self, model: &ModelName) -> usize {
        let part = self.parts.iter().find(|part| part.model == *model);
        part.map_or(0, |part| part.missing(self.targets))
    }

    /// The balance with one replica of a model more, and so many of another less.
    pub fn with_conversion(&self, to: &ModelName, from: &ModelName, taken: usize) -> Self {
        let mut after = self.clone();
        for part in &mut after.parts {
            if part.model == *to {
                part.replicas += 1;
            } else if part.model == *from {
                part.replicas = part.replicas.saturating_sub(taken);
            }
        }
        after.sort();
        after
    }

    /// Whether the model that is provided for worst has much less than another.
    pub fn is_uneven(&self, other: &ModelName) -> bool {
        let other = self.parts.iter().find(|part| part.model == *other);
        let worst = self.parts.first().map_or(0.0, ModelPart::provision);
        other.is_some_and(|other| worst < other.provision() * UNEVEN_PART)
    }

    /// Whether the model that is provided for worst has more here than in another balance.
    pub fn is_evener_than(&self, other: &Self) -> bool {
        let worst = |balance: &Self| balance.parts.first().map_or(0.0, ModelPart::provision);
        worst(self) > worst(other)
    }

    fn sort(&mut self) {
        self.parts.sort_by(|a, b| {
            let by_size = b.size.cmp(&a.size).then_with(|| a.model.cmp(&b.model));
            a.provision().total_cmp(&b.provision()).then(by_size)
        });
    }
}
