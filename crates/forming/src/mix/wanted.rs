use celeryhaven_derives::state;
use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::ModelName;

state! {
    /// A number of replicas of one model.
    #[derive(Eq)]
    pub struct ModelCount {
        /// The model.
        pub model: ModelName,
        /// Targets per replica.
        pub size: usize,
        /// Number of replicas.
        pub replicas: usize,
    }
}

/// Position of a domain among the domains of the service, in the order of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPosition {
    /// Index of the domain, from zero.
    pub index: usize,
    /// Number of domains.
    pub domains: usize,
}

/// Returns how many replicas of each model a domain with this many usable targets should have.
///
/// Models with larger replicas come first, by their share of the work. The model with the smallest
/// replicas takes the remaining targets. Rounding differences carry over from one domain to the
/// next, so that all domains together match the shares.
///
/// ```
/// use celeryhaven_fleet::ModelProfile;
/// use celeryhaven_forming::{DomainPosition, wanted_replicas};
/// use celeryhaven_types::ModelName;
///
/// let model = |name: &str, size| ModelProfile {
///     name: ModelName::new(name),
///     size,
///     share: 0.5,
///     time_factor: 1.0,
///     load_ms: 16_000,
///     staged_load_ms: 1_600,
/// };
/// let models = [model("small", 2), model("large", 4)];
/// let large = |index| {
///     wanted_replicas(10, &models, DomainPosition { index, domains: 6 })[0].replicas
/// };
/// assert_eq!((0..6).map(large).collect::<Vec<_>>(), [1, 2, 1, 1, 1, 2]);
/// ```
pub fn wanted_replicas(
    targets: usize,
    models: &[ModelProfile],
    position: DomainPosition,
) -> Vec<ModelCount> {
    let mut sorted: Vec<&ModelProfile> = models.iter().filter(|model| model.size > 0).collect();
    sorted.sort_by(|a, b| b.size.cmp(&a.size).then_with(|| a.name.cmp(&b.name)));
    let shares: f64 = sorted.iter().map(|model| model.share).sum();
    let last = sorted.len().saturating_sub(1);
    let mut remaining = targets;
    let count = |(index, model): (usize, &&ModelProfile)| {
        let part = targets as f64 * model.share / shares.max(f64::EPSILON) / model.size as f64;
        let desired =
            if index == last { remaining / model.size } else { rounded(part, position.index) };
        let replicas = desired.min(remaining / model.size);
        remaining -= replicas * model.size;
        ModelCount { model: model.name.clone(), size: model.size, replicas }
    };
    sorted.iter().enumerate().map(count).collect()
}

/// Rounds the part of one position so that all positions together sum to the exact total.
fn rounded(part: f64, index: usize) -> usize {
    let total_up_to = |positions: usize| (positions as f64 * part + 0.5).floor();
    (total_up_to(index + 1) - total_up_to(index)) as usize
}
