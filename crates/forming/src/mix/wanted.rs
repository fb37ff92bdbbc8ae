use celeryhaven_derives::state;
use celeryhaven_fleet::ModelProfile;
use celeryhaven_types::ModelName;

state! {
    /// Replicas of one model.
    #[derive(Eq)]
    pub struct ModelCount {
        /// The model.
        pub model: ModelName,
        /// Targets that form one replica of it.
        pub size: usize,
        /// How many replicas.
        pub replicas: usize,
    }
}

/// Which of the service's domains one is, in the order of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPlace {
    /// Its place, from zero.
    pub index: usize,
    /// How many there are.
    pub domains: usize,
}

/// How many replicas of each model a domain with this many usable targets should hold.
///
/// Larger replicas come first, by their model's share of the work; the smallest take what is left.
/// What a share leaves over in one domain is made up in the next, so that all domains together
/// hold the shares.
///
/// ```
/// use celeryhaven_fleet::ModelProfile;
/// use celeryhaven_forming::{DomainPlace, wanted_replicas};
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
///     wanted_replicas(10, &models, DomainPlace { index, domains: 6 })[0].replicas
/// };
/// assert_eq!((0..6).map(large).collect::<Vec<_>>(), [1, 2, 1, 1, 1, 2]);
/// ```
pub fn wanted_replicas(
    targets: usize,
    models: &[ModelProfile],
    place: DomainPlace,
) -> Vec<ModelCount> {
    let mut sorted: Vec<&ModelProfile> = models.iter().filter(|model| model.size > 0).collect();
    sorted.sort_by(|a, b| b.size.cmp(&a.size).then_with(|| a.name.cmp(&b.name)));
    let shares: f64 = sorted.iter().map(|model| model.share).sum();
    let last = sorted.len().saturating_sub(1);
    let mut left = targets;
    let count = |(rank, model): (usize, &&ModelProfile)| {
        let part = targets as f64 * model.share / shares.max(f64::EPSILON) / model.size as f64;
        let wished = if rank == last { left / model.size } else { rounded(part, place.index) };
        let replicas = wished.min(left / model.size);
        left -= replicas * model.size;
        ModelCount { model: model.name.clone(), size: model.size, replicas }
    };
    sorted.iter().enumerate().map(count).collect()
}

/// The whole number for one of many places, so that the numbers of all add up to the parts.
fn rounded(part: f64, index: usize) -> usize {
    let up_to = |places: usize| (places as f64 * part + 0.5).floor();
    (up_to(index + 1) - up_to(index)) as usize
}
