use celeryhaven_types::{
    AdapterName, Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead,
    RequestId, ServiceName,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::scenario::{EngineModel, Kind, Scenario};
use crate::workload::Demand;

/// All requests of a scenario at one load factor, in order of arrival.
pub fn generate(scenario: &Scenario, factor: f64) -> Vec<Demand> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut demands = Vec::new();
    for (place, kind) in scenario.kinds.iter().enumerate() {
        for at_us in arrivals(scenario, kind, factor, &mut rng) {
            demands.push(demand(scenario, place, kind, at_us, &mut rng));
        }
    }
    demands.sort_by_key(|demand| demand.at_us);
    demands
}

fn arrivals(scenario: &Scenario, kind: &Kind, factor: f64, rng: &mut SmallRng) -> Vec<u64> {
    let mut times = Vec::new();
    let rate_per_us = kind.rate_per_s * factor / 1e6;
    let end_us = scenario.duration_ms as f64 * 1e3;
    let mut at_us = 0.0;
    // A rate of zero puts the first arrival infinitely late.
    loop {
        at_us -= (1.0 - rng.random::<f64>()).ln() / rate_per_us;
        if at_us.is_nan() || at_us >= end_us {
            break;
        }
        times.push(at_us as u64);
    }
    for wave in &kind.waves {
        let count = (f64::from(wave.requests) * factor) as u32;
        let spread_us = wave.spread_ms as f64 * 1e3;
        times.extend(
            (0..count).map(|_| wave.at_ms * 1_000 + (rng.random::<f64>() * spread_us) as u64),
        );
    }
    times
}

fn demand(
    scenario: &Scenario,
    place: usize,
    kind: &Kind,
    at_us: u64,
    rng: &mut SmallRng,
) -> Demand {
    let organisation = organisation(scenario, kind, rng);
    let prompt_tokens = kind.prefix_tokens + between(kind.prompt_tokens, rng);
    let output_tokens = between(kind.output_tokens, rng).max(1);
    let adapter = (kind.adapters > 0).then(|| rng.random_range(0..kind.adapters));
    let hot = rng.random_range(0..1_000) < scenario.callers.hot_entry_permille;
    let patience_ms = match scenario.callers.patience_ms {
        0 => kind.deadline_ms,
        patience_ms => patience_ms,
    };
    let owner = &scenario.organisations[organisation];
    Demand {
        at_us,
        organisation,
        serves: kind.serves.clone(),
        output_tokens,
        adapter,
        entry: if hot { 0 } else { rng.random_range(0..scenario.entries) },
        patience_us: patience_ms * 1_000,
        head: RequestHead {
            id: RequestId::new("bench"),
            organisation: OrganisationName::new(owner.name.as_str()),
            class: class(kind, adapter),
            priority: Priority::new(kind.priority),
            worth: kind.worth * owner.worth,
            idempotency: if kind.non_idempotent {
                Idempotency::NonIdempotent
            } else {
                Idempotency::Idempotent
            },
            deadline_in_ms: kind.deadline_ms,
            start_within_ms: None,
            attempts_max: None,
            prompt_tokens,
            output_tokens_max: kind.output_tokens.1,
            prefix_hashes: blocks(scenario, place, kind, prompt_tokens, rng),
            choice_key: None,
        },
    }
}

fn class(kind: &Kind, adapter: Option<u32>) -> RequestClass {
    if kind.plain {
        return RequestClass::Plain { service: ServiceName::new(kind.serves.as_str()) };
    }
    RequestClass::Completion {
        model: ModelName::new(kind.serves.as_str()),
        adapter: adapter.map(|number| AdapterName::new(format!("adapter-{number}"))),
    }
}

/// Hashes of whole blocks: those of the common prefix are the same for its group.
fn blocks(
    scenario: &Scenario,
    place: usize,
    kind: &Kind,
    prompt_tokens: u32,
    rng: &mut SmallRng,
) -> Vec<u64> {
    let group = scenario.targets.iter().find(|group| group.serves == kind.serves);
    let block_tokens =
        group.map_or(EngineModel::default().block_tokens, |group| group.engine.block_tokens);
    let prefix = if kind.prefixes > 0 { rng.random_range(0..kind.prefixes) } else { 0 };
    let shared = kind.prefix_tokens / block_tokens;
    (0..prompt_tokens / block_tokens)
        .map(|block| {
            if block < shared {
                (place as u64 + 1) << 48 | u64::from(prefix) << 16 | u64::from(block)
            } else {
                rng.random::<u64>() | 1 << 63
            }
        })
        .collect()
}

fn organisation(scenario: &Scenario, kind: &Kind, rng: &mut SmallRng) -> usize {
    if let Some(name) = &kind.organisation {
        return scenario.organisations.iter().position(|it| it.name == *name).unwrap_or(0);
    }
    let total: f64 = scenario.organisations.iter().map(|it| it.demand).sum();
    let mut draw = rng.random::<f64>() * total;
    for (place, organisation) in scenario.organisations.iter().enumerate() {
        draw -= organisation.demand;
        if draw < 0.0 {
            return place;
        }
    }
    scenario.organisations.len() - 1
}

fn between((least, most): (u32, u32), rng: &mut SmallRng) -> u32 {
    if most > least { rng.random_range(least..=most) } else { most }
}
